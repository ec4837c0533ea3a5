#pragma once

#include "toucan/base/incarnation.h"
#include "toucan/rpc/domain_summary.h"
#include "toucan/rpc/member_entry.h"

#include <cstdint>
#include <vector>

namespace toucan::rpc {

/// Heartbeat of a daemon that also requests the changes at the receiver since `seen_revision`.
struct sync_request {
    member_entry sender;
    /// Incarnation of the receiver to which `seen_revision` belongs.
    incarnation seen_run;
    std::uint64_t seen_revision = 0;
    /// Summary of the failure domain of the sender, if the receiver is in another failure domain.
    std::vector<domain_summary> summaries;

    friend bool operator==(const sync_request&, const sync_request&) = default;
};

} // namespace toucan::rpc
