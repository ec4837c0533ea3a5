#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_id.h"
#include "toucan/rpc/backend_load.h"
#include "toucan/rpc/leaving_backend.h"
#include "toucan/rpc/member_state.h"

#include <cstdint>
#include <vector>

namespace toucan::rpc {

/// Member record that a daemon publishes about itself. Of two records of the same incarnation, the
/// one with the higher sequence is current.
struct member_entry {
    vm_id id;
    std::uint16_t http_port = 0;
    failure_domain_name failure_domain;
    region_name region;
    member_state state = member_state::starting;
    std::uint64_t sequence = 0;
    std::uint64_t config_version = 0;
    /// Loads of the backend servers whose home is this daemon.
    std::vector<backend_load> homes;
    /// Leaving backend servers that this daemon knows of.
    std::vector<leaving_backend> leaving;
    /// If 0, `homes` is complete. Otherwise `homes` has only the entries that were added or changed
    /// after this sequence, and none was removed since. The receiver merges them by backend server.
    std::uint64_t homes_since = 0;

    friend bool operator==(const member_entry&, const member_entry&) = default;
};

} // namespace toucan::rpc
