#pragma once

#include <chrono>

namespace toucan::steering {

/// Limit on how much traffic of a service may shift to a region other than the home region in one
/// interval.
struct shift_cap {
    /// Growth per interval as a fraction of the configured rate of the service, 0 to 1.
    double share = 0.1;
    std::chrono::seconds interval{10};

    friend bool operator==(const shift_cap&, const shift_cap&) = default;
};

} // namespace toucan::steering
