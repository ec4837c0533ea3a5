#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <optional>
#include <set>
#include <vector>

namespace toucan::membership {

/// Members that exchange summaries with a remote failure domain, the same for all who agree on the
/// ready members.
std::vector<vm_address> gateways(const failure_domain_name& own, const failure_domain_name& remote,
                                 std::vector<vm_address> ready);

/// Address in the remote failure domain that a gateway contacts.
/// @param gateway who asks; different gateways prefer different addresses.
/// @param known ready entry VMs of the remote failure domain.
/// @param failing addresses to pass over.
/// @param seeds used when all known ones fail.
std::optional<vm_address> gateway_target(const failure_domain_name& remote, vm_address gateway,
                                         const std::vector<vm_address>& known,
                                         const std::set<vm_address>& failing,
                                         const std::vector<vm_address>& seeds);

} // namespace toucan::membership
