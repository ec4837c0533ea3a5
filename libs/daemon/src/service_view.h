#pragma once

#include "local_backend.h"
#include "remote_domain.h"

#include "toucan/steering/service.h"

#include <vector>

namespace toucan::daemon {

/// What the routing of one service depends on.
struct service_view {
    const steering::service* service = nullptr;
    std::vector<local_backend> locals;
    /// Nearest first.
    std::vector<remote_domain> remotes;
};

} // namespace toucan::daemon
