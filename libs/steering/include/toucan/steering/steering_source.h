#pragma once

#include "toucan/steering/client_block.h"
#include "toucan/steering/deployment_topology.h"
#include "toucan/steering/service.h"

#include <vector>

namespace toucan::steering {

/// Validated content of a directory of steering files.
struct steering_source {
    deployment_topology topology;
    std::vector<service> services;
    std::vector<client_block> blocks;

    friend bool operator==(const steering_source&, const steering_source&) = default;
};

} // namespace toucan::steering
