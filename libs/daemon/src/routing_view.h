#pragma once

#include "reported_load.h"
#include "service_view.h"

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"
#include "toucan/policy/entry_vm_choice.h"
#include "toucan/rpc/entry_vm.h"
#include "toucan/steering/configuration.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace toucan::daemon {

/// Snapshot of configuration and membership for routing decisions. Immutable once shared.
struct routing_view {
    std::shared_ptr<const steering::configuration> config;
    region_name local_region;
    failure_domain_name local_domain;
    absl::flat_hash_map<service_name, service_view> services;
    /// Load of the backend servers of the local failure domain, as reported by their homes.
    std::vector<reported_load> loads;
    std::vector<policy::entry_candidate> entry_candidates;
    /// HTTP port by RPC address.
    absl::flat_hash_map<vm_address, std::uint16_t> http_ports;
    /// Whether this daemon has a share of the shift caps, which are divided among the configured
    /// entry VMs.
    bool has_shift_share = false;
    /// Index of this daemon's share, from 0.
    std::uint32_t shift_share_index = 0;
    /// Number of all shares.
    std::uint32_t shift_share_count = 1;
};

} // namespace toucan::daemon
