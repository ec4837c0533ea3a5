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

/// State of the local daemon and what it knows of others. Thread-safe; at most one sync with each
/// peer may be under way. An entry without a failure domain is a heartbeat: the receiver has the
/// content of this sequence already.
class member_table {
public:
    /// @param time must outlive the table.
    member_table(self_description self, const clock& time);

    /// Answers a peer with what changed since the revision that it saw.
    rpc::sync_reply handle_sync(const rpc::sync_request& request);
    /// The request to send to a peer now.
    rpc::sync_request make_sync(vm_address peer);
    /// Merges the answer of a peer.
    void apply(vm_address peer, const rpc::sync_reply& reply);
    /// Notes that a sync with a peer failed.
    void note_unreachable(vm_address peer);

    /// @param seeds addresses from the settings and the VM list; replaces the former ones.
    void set_seeds(std::vector<vm_address> seeds);
    void set_state(rpc::member_state state);
    void set_config_version(std::uint64_t version);
    /// Takes the present loads of the own homes. Material changes are sent at once, smaller ones
    /// after `config::load_refresh`; call it repeatedly.
    void set_homes(std::vector<rpc::backend_load> homes);
    /// Notes a leaving signal that this daemon saw, and tells the others.
    void note_leaving(const rpc::leaving_backend& signal);
    void note_running(const backend_server_name& backend, incarnation run);

    [[nodiscard]] std::shared_ptr<const member_view> view() const;

private:
    struct member_record {
        rpc::member_entry entry;
        std::uint64_t changed_at = 0;
        steady_time touched;
    };
    /// Progress of the exchange with one address.
    struct peer_record {
        incarnation run;
        failure_domain_name failure_domain;
        std::uint64_t seen_revision = 0;
        std::uint64_t sent_sequence = 0;
        std::uint64_t delivered_sequence = 0;
        std::optional<steady_time> heard;
        std::optional<steady_time> failed;
        /// Own summary as sent last.
        rpc::domain_summary sent_summary;
    };
    /// When the load of an own home was last published.
    struct published_load {
        std::uint64_t sequence = 0;
        steady_time at;
    };
    struct summary_record {
        std::shared_ptr<const rpc::domain_summary> latest;
        /// As last forwarded in this failure domain, by whichever gateway.
        std::shared_ptr<const rpc::domain_summary> forwarded;
        std::uint64_t changed_at = 0;
        steady_time refreshed;
    };

    void changed() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    peer_record* note_contact(const rpc::member_entry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// The own entry for a peer, as short as what the peer has allows.
    /// @param delivered sequence that the peer has; 0 if unknown.
    [[nodiscard]] rpc::member_entry own_entry(const failure_domain_name& domain,
                                              std::uint64_t delivered) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void merge_member(const rpc::member_entry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void merge_summary(const rpc::domain_summary& summary, bool from_remote)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void note_config(std::uint64_t version, vm_address peer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] rpc::member_entry heartbeat() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] bool reachable(vm_address peer) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] bool given_up(vm_address peer) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] bool expired(const summary_record& it) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] std::vector<rpc::entry_vm> ready_entry_vms() const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Adds the own summary unless the peer has one that is alike and recent.
    void add_own_summary(peer_record& peer, std::vector<rpc::domain_summary>& out)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void forget_old() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const clock& clock_;
    const self_description::summarise_hook summarise_;
    mutable absl::Mutex mutex_;
    rpc::member_entry self_ ABSL_GUARDED_BY(mutex_);
    /// Present loads of the own homes; `self_.homes` has them as published.
    std::vector<rpc::backend_load> own_loads_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<std::string, published_load> published_ ABSL_GUARDED_BY(mutex_);
    /// Sequence at which the own entry last lost a home.
    std::uint64_t home_removed_at_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 1;
    std::uint64_t self_changed_at_ ABSL_GUARDED_BY(mutex_) = 1;
    std::uint64_t summary_revision_ ABSL_GUARDED_BY(mutex_) = 0;
    std::map<vm_address, member_record> members_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<vm_address, peer_record> peers_ ABSL_GUARDED_BY(mutex_);
    std::map<failure_domain_name, summary_record> summaries_ ABSL_GUARDED_BY(mutex_);
    std::vector<vm_address> seeds_ ABSL_GUARDED_BY(mutex_);
    leaving_registry leaving_ ABSL_GUARDED_BY(mutex_);
    std::optional<steady_time> last_sync_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t highest_config_ ABSL_GUARDED_BY(mutex_) = 0;
    std::optional<vm_address> config_source_ ABSL_GUARDED_BY(mutex_);
};

} // namespace toucan::membership
