#pragma once

#include "toucan/base/clock.h"
#include "toucan/rpc/domain_summary.h"
#include "toucan/rpc/member_entry.h"

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace toucan::membership {

/// State of another member of the own failure domain.
struct member_status {
    rpc::member_entry entry;
    bool reachable = false;
    /// Last message received from the member itself; nothing if it is only known through others.
    std::optional<steady_time> last_contact;
};

/// State of another failure domain.
struct summary_status {
    std::shared_ptr<const rpc::domain_summary> summary;
    /// False if the summary has expired. Its addresses are still used to reach the failure domain.
    bool usable = false;
};

/// Immutable snapshot of a member table.
struct member_view {
    rpc::member_entry self;
    std::vector<member_status> members;
    /// Ready and reachable entry VMs of the own failure domain, including this daemon if it is
    /// ready.
    std::vector<rpc::entry_vm> entry_vms;
    std::vector<summary_status> summaries;
    /// Addresses from the seeds and the VM list whose failure domain is not known yet.
    std::vector<vm_address> unresolved_seeds;
    /// All addresses from the seeds and the VM list, tried last to reach another failure domain.
    std::vector<vm_address> seeds;
    /// Peers with a failed sync since the last message from them.
    std::set<vm_address> failing_peers;
    std::uint64_t highest_config_version = 0;
    /// Peer that has `highest_config_version`; nothing if no peer has a higher version than this
    /// daemon.
    std::optional<vm_address> config_source;
    std::vector<rpc::leaving_backend> leaving;
    /// Last completed sync with another member of the failure domain.
    std::optional<steady_time> last_sync;
    /// No other member is reachable, and for each one a recent sync failed after it had become
    /// unreachable.
    bool is_alone = false;

    /// Addresses of the ready and reachable members, including this daemon if it is ready.
    [[nodiscard]] std::vector<vm_address> ready_addresses() const;
};

} // namespace toucan::membership
