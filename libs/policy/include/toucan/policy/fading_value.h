#pragma once

#include "toucan/base/clock.h"

#include <algorithm>

namespace toucan::policy {

/// The largest of the values recorded so far, each of which decreases to zero over a window. It is
/// used for counts of a sliding window that other daemons report: what is known of them is
/// forgotten no faster than the window passes, so that a lost report does not look like an absence
/// of requests. Not thread-safe.
class fading_value {
public:
    [[nodiscard]] double at(steady_time now, std::chrono::nanoseconds window) const
    {
        using seconds = std::chrono::duration<double>;
        return value_ * std::max(0.0, 1 - seconds(now - since_) / seconds(window));
    }
    /// Records a value, unless a larger one is still in effect.
    void raise(double value, steady_time now, std::chrono::nanoseconds window)
    {
        if (value >= at(now, window)) {
            value_ = value;
            since_ = now;
        }
    }

private:
    double value_ = 0;
    steady_time since_;
};

} // namespace toucan::policy
