#pragma once

#include "toucan/base/clock.h"

#include <cstdint>

namespace toucan::policy {

/// Demand of a daemon's callers for one service, in slots that their requests would occupy.
struct service_demand {
    /// Low half of the stable hash of the service name.
    std::uint32_t service = 0;
    double slots = 0;

    friend bool operator==(const service_demand&, const service_demand&) = default;
};

/// Estimates demand in slots: an exponential average of the expected work that arrives per second.
/// Unlike the number of requests in progress, it is not capped by the number of slots. Not
/// thread-safe.
class demand_meter {
public:
    /// Counts an arriving request.
    /// @param work time for which the request is expected to occupy a slot.
    void add(std::chrono::nanoseconds work, steady_time now);
    /// Demand at `now`, in slots.
    [[nodiscard]] double slots(steady_time now) const;

private:
    void decay(steady_time now);

    double slots_ = 0;
    steady_time updated_at_;
};

} // namespace toucan::policy
