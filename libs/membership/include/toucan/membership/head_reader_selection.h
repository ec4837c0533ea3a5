#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <vector>

namespace toucan::membership {

/// Head readers: the members of a failure domain that poll the head row, the table row with the
/// newest published configuration. Members with the same set of ready members select the same ones.
/// @param local failure domain of this daemon.
/// @param ready addresses of its ready and reachable members.
std::vector<vm_address> head_readers(const failure_domain_name& local,
                                     std::vector<vm_address> ready);

} // namespace toucan::membership
