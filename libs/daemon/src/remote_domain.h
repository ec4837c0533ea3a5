#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace toucan::daemon {

/// Another failure domain that has backend servers of a service.
struct remote_domain {
    failure_domain_name name;
    region_name region;
    std::chrono::milliseconds one_way_delay{0};
    /// Homes of its backend servers of the service, as far as its summary allows to tell.
    std::vector<vm_address> homes;
    /// As its summary says; it may be old.
    std::uint32_t spare_slots = 0;

    friend bool operator==(const remote_domain&, const remote_domain&) = default;
};

} // namespace toucan::daemon
