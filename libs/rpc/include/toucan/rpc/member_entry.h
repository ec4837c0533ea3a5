#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_id.h"
#include "toucan/rpc/backend_load.h"
#include "toucan/rpc/leaving_backend.h"
#include "toucan/rpc/member_state.h"

#include <cstdint>
#include <vector>

namespace toucan::rpc {

/// A daemon's statement about itself. A higher sequence of the same incarnation supersedes.
struct member_entry {
    vm_id id;
    std::uint16_t http_port = 0;
    failure_domain_name failure_domain;
    region_name region;
    member_state state = member_state::starting;
    std::uint64_t sequence = 0;
    std::uint64_t config_version = 0;
    /// Backend servers that this daemon is the home of.
    std::vector<backend_load> homes;
    std::vector<leaving_backend> leaving;
    /// If not 0, `homes` holds only what was added or changed after this sequence, nothing was
    /// removed since, and the receiver merges it by backend server. If 0, `homes` is complete.
    std::uint64_t homes_since = 0;

    friend bool operator==(const member_entry&, const member_entry&) = default;
};

} // namespace toucan::rpc
