#pragma once

#include "toucan/base/clock.h"

namespace toucan::policy {

/// Retry delays of the refused requests of one service. Each refused caller is given the time at
/// which the next slot is expected that has not been given to a caller refused before it, so that
/// retries arrive at the rate at which slots become free. Not thread-safe.
class retry_spread {
public:
    /// Bounds of a retry delay.
    struct bounds {
        milliseconds shortest{0};
        milliseconds longest{0};
    };

    /// @param wait expected time until the refused request would have been dispatched.
    /// @param interval mean time between two slots that become free.
    /// @return a delay within the bounds. If all times within the bounds have been given, they are
    /// given again from the first one on.
    [[nodiscard]] milliseconds next(std::chrono::nanoseconds wait,
                                    std::chrono::nanoseconds interval, const bounds& within,
                                    steady_time now);

private:
    /// Last time that was given.
    steady_time last_;
};

} // namespace toucan::policy
