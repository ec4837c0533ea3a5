#pragma once

#include "toucan/base/clock.h"
#include "toucan/rpc/domain_summary.h"
#include "toucan/rpc/member_entry.h"

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace toucan::membership {

/// Another member of the own failure domain.
struct member_status {
    rpc::member_entry entry;
    bool reachable = false;
    /// Last direct contact; none if it is known from others only.
    std::optional<steady_time> last_heard;
};

/// What is known about another failure domain.
struct summary_status {
    std::shared_ptr<const rpc::domain_summary> summary;
    /// False once the summary expired; its addresses still serve to reach the failure domain.
    bool usable = false;
};

/// Immutable snapshot of a member table.
struct member_view {
    rpc::member_entry self;
    std::vector<member_status> members;
    /// Ready and reachable entry VMs of the own failure domain, with this one.
    std::vector<rpc::entry_vm> entry_vms;
    std::vector<summary_status> summaries;
    /// Addresses from seeds and the VM list that are in no known failure domain yet.
    std::vector<vm_address> contacts;
    /// Seeds and VM list as given, as the last resort to reach another failure domain.
    std::vector<vm_address> seeds;
    /// Peers that failed to answer after they were last heard.
    std::set<vm_address> failing;
    std::uint64_t highest_config_version = 0;
    /// Peer that has `highest_config_version`; none if no peer has more than this daemon.
    std::optional<vm_address> config_source;
    std::vector<rpc::leaving_backend> leaving;
    /// Last completed sync with another member of the failure domain.
    std::optional<steady_time> last_sync;
    /// No other member answers, and each was tried after it fell silent.
    bool is_alone = false;

    /// Addresses of the ready and reachable members, with this daemon if it is ready.
    [[nodiscard]] std::vector<vm_address> ready_addresses() const;
};

} // namespace toucan::membership
