#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_id.h"
#include "toucan/steering/deployment_topology.h"

#include <absl/types/span.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace toucan::policy {

/// An entry VM that a lookup can return.
struct entry_candidate {
    vm_id id;
    failure_domain_name failure_domain;
    bool ready = true;
    bool leaving = false;
};

/// Chooses the entry VMs that a lookup returns. Ready VMs of the client block's failure domain come
/// first, in the block's rendezvous order, then those of the other failure domains of the region,
/// then those of other regions by one-way delay, until there are `count`.
/// @param block client block as text.
/// @param home failure domain of the client block.
/// @param count number of VMs to return; at least two, so that a caller has an alternative if one
/// fails.
/// @return fewer than `count` only if fewer are ready in all failure domains.
[[nodiscard]] std::vector<vm_id> choose_entry_vms(const steering::deployment_topology& topology,
                                                  std::string_view block,
                                                  const failure_domain_name& home,
                                                  absl::Span<const entry_candidate> candidates,
                                                  std::size_t count = 2);

} // namespace toucan::policy
