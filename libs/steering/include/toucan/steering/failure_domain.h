#pragma once

#include "toucan/base/name.h"

#include <cstdint>

namespace toucan::steering {

/// A failure domain: a set of VMs that can fail together, in one region.
struct failure_domain {
    failure_domain_name name;
    region_name region;
    /// Number of entry VMs among which budgets are divided.
    std::uint32_t entry_vms = 1;

    friend bool operator==(const failure_domain&, const failure_domain&) = default;
};

} // namespace toucan::steering
