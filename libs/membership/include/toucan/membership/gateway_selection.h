#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <optional>
#include <set>
#include <vector>

namespace toucan::membership {

/// Gateways: the members of the local failure domain that exchange summaries with a remote failure
/// domain. The result depends only on the arguments, so members with the same set of ready members
/// select the same gateways.
/// @param local failure domain of this daemon.
/// @param ready addresses of the ready and reachable members of the local failure domain.
std::vector<vm_address> gateways(const failure_domain_name& local,
                                 const failure_domain_name& remote, std::vector<vm_address> ready);

/// Address in the remote failure domain that a gateway contacts.
/// @param gateway address of the gateway; different gateways prefer different addresses.
/// @param known addresses from the summary of the remote failure domain.
/// @param failing addresses that did not answer the last sync.
/// @param seeds candidates if all known addresses are failing.
/// @return the first candidate that is not failing, otherwise the first known address; nothing if
/// no address is known.
std::optional<vm_address> gateway_target(const failure_domain_name& remote, vm_address gateway,
                                         const std::vector<vm_address>& known,
                                         const std::set<vm_address>& failing,
                                         const std::vector<vm_address>& seeds);

} // namespace toucan::membership
