#pragma once

#include "home.h"
#include "routing_view.h"

#include "toucan/membership/member_view.h"

#include <memory>
#include <vector>

namespace toucan::daemon {

/// Builds the snapshot for routing decisions. The caller may add to it before it is shared between
/// threads.
/// @param config configuration in force.
/// @param members membership view of this daemon.
std::shared_ptr<routing_view>
build_routing_view(std::shared_ptr<const steering::configuration> config,
                   const membership::member_view& members);

/// Backend servers whose home is this daemon, with the settings needed to serve them.
/// @param view routing snapshot.
/// @param self RPC address of this daemon.
std::vector<home_assignment> assigned_homes(const routing_view& view, vm_address self);

} // namespace toucan::daemon
