#pragma once

#include "toucan/base/name.h"

#include <cstdint>

namespace toucan::steering {

/// A failure domain and the number of entry VMs that budgets are divided by.
struct failure_domain {
    failure_domain_name name;
    region_name region;
    std::uint32_t entry_vms = 1;

    friend bool operator==(const failure_domain&, const failure_domain&) = default;
};

} // namespace toucan::steering
