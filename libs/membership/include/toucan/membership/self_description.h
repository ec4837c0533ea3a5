#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_id.h"
#include "toucan/rpc/backend_load.h"
#include "toucan/rpc/service_load.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace toucan::membership {

/// Identity and location of the local daemon, fixed for the lifetime of the process.
struct self_description {
    /// Sums the loads of a failure domain's backend servers per service.
    using summarize_loads_hook =
        std::function<std::vector<rpc::service_load>(const std::vector<rpc::backend_load>&)>;

    vm_id id;
    std::uint16_t http_port = 0;
    failure_domain_name failure_domain;
    region_name region;
    summarize_loads_hook summarize_loads;
};

} // namespace toucan::membership
