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

/// Snapshot of configuration and membership that requests are routed by. Immutable.
struct routing_view {
    std::shared_ptr<const steering::configuration> config;
    region_name own_region;
    failure_domain_name own_domain;
    absl::flat_hash_map<service_name, service_view> services;
    /// Load of backend servers of the own failure domain, as their homes report it.
    std::vector<reported_load> loads;
    std::vector<policy::entry_candidate> entry_candidates;
    absl::flat_hash_map<vm_address, std::uint16_t> http_ports;
    /// Part of this daemon in budgets that all entry VMs divide.
    bool is_spender = false;
    std::uint32_t spender_rank = 0;
    std::uint32_t spenders = 1;
};

} // namespace toucan::daemon
