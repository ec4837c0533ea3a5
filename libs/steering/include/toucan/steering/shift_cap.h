#pragma once

#include <chrono>

namespace toucan::steering {

/// Limit on the growth of a service's traffic towards a region other than the home region.
struct shift_cap {
    /// Share of the service's configured rate, 0 to 1.
    double share = 0.1;
    std::chrono::seconds interval{10};

    friend bool operator==(const shift_cap&, const shift_cap&) = default;
};

} // namespace toucan::steering
