#pragma once

#include <chrono>

namespace toucan::steering {

/// Limit on the growth of shifted traffic of a service. A shifted request is served in a region
/// other than the region to which its client block is steered.
struct shift_cap {
    /// Maximum growth from one interval to the next, as a fraction of the configured rate of the
    /// service, 0 to 1.
    double share = 0.1;
    std::chrono::seconds interval{10};

    friend bool operator==(const shift_cap&, const shift_cap&) = default;
};

} // namespace toucan::steering
