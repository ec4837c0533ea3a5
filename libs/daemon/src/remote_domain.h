#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace toucan::daemon {

/// Another failure domain with backend servers of a service.
struct remote_domain {
    failure_domain_name name;
    region_name region;
    std::chrono::milliseconds one_way_delay{0};
    /// RPC addresses of the homes of these backend servers, computed from the entry VMs in the
    /// summary of the failure domain.
    std::vector<vm_address> homes;
    /// Spare slots of the service as reported in the summary, which may be out of date.
    std::uint32_t spare_slots = 0;

    friend bool operator==(const remote_domain&, const remote_domain&) = default;
};

} // namespace toucan::daemon
