#pragma once

#include "toucan/membership/leaving_registry.h"
#include "toucan/membership/member_view.h"
#include "toucan/membership/self_description.h"
#include "toucan/rpc/sync_reply.h"
#include "toucan/rpc/sync_request.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <string>

namespace toucan::membership {

/// State of the local daemon, the member entries of its failure domain and the summaries of other
/// failure domains. Thread-safe; at most one sync with each peer may be in progress.
///
/// Each change of the own entry gets a higher sequence, and each change that peers receive a higher
/// revision of the table. An entry without a failure domain is a heartbeat: the receiver already
/// has the content of its sequence.
class member_table {
public:
    /// @param time clock of the local daemon; must outlive the table.
    member_table(self_description self, const clock& time);

    /// Merges the request of a peer and returns the changes since the revision that the peer has
    /// seen. A reply with revision 0 asks the peer for its complete entry.
    rpc::sync_reply handle_sync(const rpc::sync_request& request);
    /// Builds the next sync request to a peer and updates the progress of the exchange with it.
    rpc::sync_request make_sync_request(vm_address peer);
    /// Merges the reply of a peer.
    void apply_sync_reply(vm_address peer, const rpc::sync_reply& reply);
    /// Records that a sync with a peer failed.
    void record_sync_failure(vm_address peer);

    /// Replaces the seeds.
    /// @param seeds addresses from the settings and the VM list.
    void set_seeds(std::vector<vm_address> seeds);
    void set_state(rpc::member_state state);
    void set_config_version(std::uint64_t version);
    /// Sets the loads of the backend servers that this daemon is the home of. Large changes are
    /// published at once, smaller ones after `config::load_refresh_interval`. Call it periodically.
    void set_home_loads(std::vector<rpc::backend_load> homes);
    /// Records a leaving signal received by this daemon and publishes it in the own entry.
    void record_leaving(const rpc::leaving_backend& signal);
    /// Records the running incarnation of a backend server and clears signals for older ones.
    void record_running(const backend_server_name& backend, incarnation run);

    /// Snapshot of the table at the current time.
    [[nodiscard]] std::shared_ptr<const member_view> view() const;

private:
    struct member_record {
        rpc::member_entry entry;
        /// Revision of the last change that other members must receive.
        std::uint64_t changed_at = 0;
        /// Last contact, or time at which a new incarnation became known.
        steady_time last_activity;
    };
    /// Progress of the sync exchange with one address.
    struct peer_record {
        incarnation run;
        failure_domain_name failure_domain;
        /// Revision of the peer's table up to which its changes were received.
        std::uint64_t seen_revision = 0;
        /// Sequence of the own entry in the last request to the peer.
        std::uint64_t sent_sequence = 0;
        /// Sequence of the own entry that the peer has; 0 if unknown.
        std::uint64_t delivered_sequence = 0;
        std::optional<steady_time> last_contact;
        std::optional<steady_time> last_failure;
        /// Summary of the own failure domain as last sent.
        rpc::domain_summary last_sent_summary;
    };
    /// Last publication of the load of a backend server that this daemon is the home of.
    struct published_load {
        std::uint64_t sequence = 0;
        steady_time published_at;
    };
    struct summary_record {
        std::shared_ptr<const rpc::domain_summary> latest;
        /// Summary as last forwarded inside this failure domain, by any gateway.
        std::shared_ptr<const rpc::domain_summary> last_forwarded;
        std::uint64_t changed_at = 0;
        steady_time refreshed_at;
    };

    /// Gives the changed own entry a new sequence and revision.
    void advance_sequence() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Records a message from a peer and merges its entry.
    /// @return null if the message is from an older incarnation.
    peer_record* record_contact(const rpc::member_entry& entry)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Own entry for a peer, reduced to the changes that the peer lacks.
    /// @param domain failure domain of the peer; empty if unknown.
    /// @param delivered sequence of the own entry that the peer has; 0 if unknown.
    [[nodiscard]] rpc::member_entry local_entry_for(const failure_domain_name& domain,
                                                    std::uint64_t delivered) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void merge_member(const rpc::member_entry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// @param from_remote whether the summary was received from its own failure domain and has to
    /// be forwarded inside this one.
    void merge_summary(const rpc::domain_summary& summary, bool from_remote)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void record_config_version(std::uint64_t version, vm_address peer)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] rpc::member_entry heartbeat() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] bool is_reachable(vm_address peer) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Whether a recent failure confirms that the peer is unreachable.
    [[nodiscard]] bool confirmed_unreachable(vm_address peer) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] bool is_expired(const summary_record& it) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] std::vector<rpc::entry_vm> ready_entry_vms() const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Adds the summary of the own failure domain, unless the peer has a recent one without large
    /// differences.
    void add_local_summary(peer_record& peer, std::vector<rpc::domain_summary>& out)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Removes members without contact for `config::member_retention`.
    void remove_silent_members() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const clock& clock_;
    const self_description::summarize_loads_hook summarize_loads_;
    mutable absl::Mutex mutex_;
    rpc::member_entry self_ ABSL_GUARDED_BY(mutex_);
    /// Current loads of the backend servers that this daemon is the home of; `self_.homes` has them
    /// as last published.
    std::vector<rpc::backend_load> current_loads_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<std::string, published_load> published_loads_ ABSL_GUARDED_BY(mutex_);
    /// Sequence at which a home was last removed from the own entry.
    std::uint64_t home_removed_sequence_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 1;
    std::uint64_t self_changed_at_ ABSL_GUARDED_BY(mutex_) = 1;
    std::uint64_t summary_revision_ ABSL_GUARDED_BY(mutex_) = 0;
    std::map<vm_address, member_record> members_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<vm_address, peer_record> peers_ ABSL_GUARDED_BY(mutex_);
    std::map<failure_domain_name, summary_record> summaries_ ABSL_GUARDED_BY(mutex_);
    std::vector<vm_address> seeds_ ABSL_GUARDED_BY(mutex_);
    leaving_registry leaving_ ABSL_GUARDED_BY(mutex_);
    std::optional<steady_time> last_sync_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t highest_config_version_ ABSL_GUARDED_BY(mutex_) = 0;
    std::optional<vm_address> config_source_ ABSL_GUARDED_BY(mutex_);
};

} // namespace toucan::membership
