#pragma once

#include "local_backend.h"
#include "remote_domain.h"

#include "toucan/steering/service.h"

#include <vector>

namespace toucan::daemon {

/// Backend servers and remote failure domains of one service, for routing.
struct service_view {
    /// Points into the configuration of the `routing_view`.
    const steering::service* service = nullptr;
    std::vector<local_backend> local_backends;
    /// Sorted by one-way delay, nearest first.
    std::vector<remote_domain> remote_domains;
};

} // namespace toucan::daemon
