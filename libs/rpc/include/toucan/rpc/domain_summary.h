#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_id.h"
#include "toucan/rpc/entry_vm.h"
#include "toucan/rpc/leaving_backend.h"
#include "toucan/rpc/service_load.h"

#include <cstdint>
#include <vector>

namespace toucan::rpc {

/// Summary of one failure domain, sent to the daemons of other failure domains.
struct domain_summary {
    failure_domain_name failure_domain;
    region_name region;
    /// Wall time of the writer in microseconds. The summary with the highest revision is current.
    std::uint64_t revision = 0;
    /// Daemon that wrote the summary.
    vm_id writer;
    std::uint64_t config_version = 0;
    std::vector<entry_vm> entry_vms;
    std::vector<service_load> services;
    std::vector<leaving_backend> leaving;

    friend bool operator==(const domain_summary&, const domain_summary&) = default;
};

} // namespace toucan::rpc
