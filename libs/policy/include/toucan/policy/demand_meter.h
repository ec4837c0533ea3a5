#pragma once

#include "toucan/base/clock.h"

#include <cstdint>

namespace toucan::policy {

/// Slots that a daemon's callers would keep busy at one service.
struct service_demand {
    /// Low half of the stable hash of its name.
    std::uint32_t service = 0;
    double slots = 0;

    friend bool operator==(const service_demand&, const service_demand&) = default;
};

/// Slots that arriving requests would keep busy: their expected work per second. Unlike the number
/// in progress, it does not stop at the number of slots. Not thread-safe.
class demand_meter {
public:
    /// Counts an arriving request.
    /// @param work time for which it is expected to hold a slot.
    void add(std::chrono::nanoseconds work, steady_time now);
    [[nodiscard]] double slots(steady_time now) const;

private:
    void decay(steady_time now);

    double slots_ = 0;
    steady_time at_;
};

} // namespace toucan::policy
