#pragma once

#include "toucan/rpc/domain_summary.h"
#include "toucan/rpc/member_entry.h"

#include <cstdint>
#include <vector>

namespace toucan::rpc {

/// Records that changed at the receiver after the `seen_revision` of the request.
struct sync_reply {
    member_entry receiver;
    std::uint64_t revision = 0;
    std::vector<member_entry> members;
    std::vector<domain_summary> summaries;

    friend bool operator==(const sync_reply&, const sync_reply&) = default;
};

} // namespace toucan::rpc
