#pragma once

#include "toucan/base/clock.h"

#include <chrono>
#include <optional>

namespace toucan::operations {

/// Decides when an idempotent request deserves a second attempt: after an estimate of the 95th
/// percentile of the response time. A value type; the owner synchronises access.
class hedge_timer {
public:
    using duration = std::chrono::microseconds;

    /// @param first estimate before any response was seen.
    /// @param least never hedge earlier than this.
    explicit hedge_timer(duration first = std::chrono::milliseconds(100),
                         duration least = std::chrono::milliseconds(2));

    /// @param took response time of a request that was not cut off.
    void observe(duration took);
    [[nodiscard]] duration delay() const;
    /// @param sent when the first attempt was sent.
    /// @param deadline deadline of the request.
    /// @return when to send the second attempt; nothing if it could not finish in time.
    [[nodiscard]] std::optional<steady_time> hedge_at(steady_time sent, steady_time deadline) const;

    friend bool operator==(const hedge_timer&, const hedge_timer&) = default;

private:
    double estimate_us_;
    duration least_;
};

} // namespace toucan::operations
