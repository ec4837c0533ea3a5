#pragma once

#include "toucan/base/name.h"
#include "toucan/steering/client_block_table.h"
#include "toucan/steering/deployment_topology.h"
#include "toucan/steering/service.h"

#include <cstdint>
#include <vector>

namespace toucan::steering {

/// The complete steering configuration of one version. Immutable once built.
struct configuration {
    std::uint64_t version = 0;
    deployment_topology topology;
    std::vector<service> services;
    client_block_table blocks;

    /// @return the service of this name, or null. The pointer is valid as long as `services`.
    [[nodiscard]] const service* find(const service_name& name) const;
};

} // namespace toucan::steering
