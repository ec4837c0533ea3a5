#pragma once

#include "home.h"
#include "routing_view.h"

#include "toucan/membership/member_view.h"

#include <memory>
#include <vector>

namespace toucan::daemon {

/// Makes the snapshot that requests are routed by; the caller may add to it before it is shared.
/// @param config configuration in force.
/// @param members what this daemon knows about others.
std::shared_ptr<routing_view>
build_routing_view(std::shared_ptr<const steering::configuration> config,
                   const membership::member_view& members);

/// The backend servers that this daemon is the home of, with what it needs to serve them.
/// @param view snapshot to take them from.
/// @param self RPC address of this daemon.
std::vector<home_plan> plan_homes(const routing_view& view, vm_address self);

} // namespace toucan::daemon
