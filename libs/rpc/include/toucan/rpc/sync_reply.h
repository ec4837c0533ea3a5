#pragma once

#include "toucan/rpc/domain_summary.h"
#include "toucan/rpc/member_entry.h"

#include <cstdint>
#include <vector>

namespace toucan::rpc {

/// Reply to a heartbeat: the records that changed at the receiver of the request after its
/// `seen_revision`.
struct sync_reply {
    /// Member record of the receiver of the request.
    member_entry receiver;
    /// Revision of the tables of the receiver, to be sent as the next `seen_revision`. If 0, the
    /// requester must send its complete member record.
    std::uint64_t revision = 0;
    std::vector<member_entry> members;
    std::vector<domain_summary> summaries;

    friend bool operator==(const sync_reply&, const sync_reply&) = default;
};

} // namespace toucan::rpc
