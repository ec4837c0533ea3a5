#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <vector>

namespace toucan::membership {

/// Members of a failure domain that poll the head row.
/// @param ready addresses of its ready and reachable members.
std::vector<vm_address> head_readers(const failure_domain_name& own, std::vector<vm_address> ready);

} // namespace toucan::membership
