#pragma once

#include "toucan/base/incarnation.h"
#include "toucan/rpc/domain_summary.h"
#include "toucan/rpc/member_entry.h"

#include <cstdint>
#include <vector>

namespace toucan::rpc {

/// Heartbeat of a daemon, and a question for what changed at the receiver.
struct sync_request {
    member_entry sender;
    /// Incarnation of the receiver that `seen_revision` belongs to.
    incarnation seen_run;
    std::uint64_t seen_revision = 0;
    /// The sender's own domain, when the receiver is in another failure domain.
    std::vector<domain_summary> summaries;

    friend bool operator==(const sync_request&, const sync_request&) = default;
};

} // namespace toucan::rpc
