#pragma once

#include "toucan/base/clock.h"

#include <chrono>
#include <optional>

namespace toucan::operations {

/// Computes when to send a second attempt (hedge) of an idempotent request: after an estimate of
/// the 95th percentile of the response time. A value type; the owner synchronizes access.
class hedge_timer {
public:
    using duration = std::chrono::microseconds;

    /// @param initial estimate before the first response.
    /// @param min_delay lower bound of the estimate.
    explicit hedge_timer(duration initial = std::chrono::milliseconds(100),
                         duration min_delay = std::chrono::milliseconds(2));

    /// Updates the estimate.
    /// @param response_time response time of a request that was neither cancelled nor timed out.
    void observe(duration response_time);
    /// Estimated 95th percentile of the response time.
    [[nodiscard]] duration delay() const;
    /// @param sent time at which the first attempt was sent.
    /// @param deadline deadline of the request.
    /// @return time of the second attempt; nothing if less than `delay` would remain for it.
    [[nodiscard]] std::optional<steady_time> hedge_at(steady_time sent, steady_time deadline) const;

    friend bool operator==(const hedge_timer&, const hedge_timer&) = default;

private:
    double estimate_us_;
    duration min_delay_;
};

} // namespace toucan::operations
