#include "toucan/membership/member_table.h"

#include "summary_change.h"
#include "toucan/base/config.h"
#include "toucan/membership/membership_config.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucan::membership {

namespace {

/// Whether two entries are equal in the fields that are forwarded to other members. Loads and the
/// configuration version are not: every member receives them directly.
bool equal_when_forwarded(const rpc::member_entry& lhs, const rpc::member_entry& rhs)
{
    return lhs.id == rhs.id && lhs.http_port == rhs.http_port && lhs.state == rhs.state &&
           lhs.leaving == rhs.leaving;
}

bool lists_entry_vm(const rpc::domain_summary& summary, const vm_id& id)
{
    return std::any_of(summary.entry_vms.begin(), summary.entry_vms.end(),
                       [&](const auto& it) { return it.id == id; });
}

/// Whether the load changed so much that it is sent at once: other admitted slots, idle or fully
/// loaded on one side only, or a difference of at least `config::load_change_threshold` of the
/// admitted slots.
bool differs_materially(const rpc::backend_load& before, const rpc::backend_load& after)
{
    const auto used_before = double(before.in_use) + before.queued;
    const auto used_after = double(after.in_use) + after.queued;
    return before.admitted_slots != after.admitted_slots ||
           (used_before == 0) != (used_after == 0) ||
           (used_before >= before.admitted_slots) != (used_after >= after.admitted_slots) ||
           std::abs(used_after - used_before) >=
               config::load_change_threshold * after.admitted_slots;
}

/// Adds or replaces the loads of a partial list by backend server.
void merge_homes(std::vector<rpc::backend_load>& homes,
                 const std::vector<rpc::backend_load>& changes)
{
    for (const auto& change : changes) {
        const auto it = std::find_if(homes.begin(), homes.end(), [&](const auto& known) {
            return known.backend == change.backend;
        });
        if (it == homes.end()) {
            homes.push_back(change);
        }
        else {
            *it = change;
        }
    }
}

} // namespace

member_table::member_table(self_description self, const clock& time)
    : clock_(time), summarize_loads_(std::move(self.summarize_loads))
{
    self_.id = self.id;
    self_.http_port = self.http_port;
    self_.failure_domain = std::move(self.failure_domain);
    self_.region = std::move(self.region);
    self_.sequence = 1;
}

void member_table::advance_sequence()
{
    ++self_.sequence;
    self_changed_at_ = ++revision_;
}

rpc::member_entry member_table::heartbeat() const
{
    rpc::member_entry out;
    out.id = self_.id;
    out.state = self_.state;
    out.sequence = self_.sequence;
    out.config_version = self_.config_version;
    return out;
}

rpc::member_entry member_table::local_entry_for(const failure_domain_name& domain,
                                                std::uint64_t delivered) const
{
    const bool is_remote = !domain.empty() && domain != self_.failure_domain;
    // Besides the heartbeat, other failure domains receive only the port, failure domain and
    // region, which do not change.
    if (delivered == self_.sequence || (is_remote && delivered > 0)) {
        return heartbeat();
    }
    if (!is_remote && (delivered == 0 || delivered < home_removed_sequence_)) {
        return self_;
    }
    auto out = heartbeat();
    out.http_port = self_.http_port;
    out.failure_domain = self_.failure_domain;
    out.region = self_.region;
    if (is_remote) {
        return out;
    }
    out.leaving = self_.leaving;
    out.homes_since = delivered;
    for (const auto& it : self_.homes) {
        const auto sent = published_loads_.find(it.backend.text());
        if (sent == published_loads_.end() || sent->second.sequence > delivered) {
            out.homes.push_back(it);
        }
    }
    return out;
}

bool member_table::is_reachable(vm_address peer) const
{
    const auto it = peers_.find(peer);
    return it != peers_.end() && it->second.last_contact &&
           clock_.now() - *it->second.last_contact < toucan::config::unreachable_after;
}

bool member_table::confirmed_unreachable(vm_address peer) const
{
    const auto it = peers_.find(peer);
    if (it == peers_.end() || !it->second.last_failure) {
        return false;
    }
    // Not counted: failures from before a pause of this process, and failures while the peer was
    // still reachable.
    const auto& known = it->second;
    return clock_.now() - *known.last_failure <= config::failure_evidence_lifetime &&
           (!known.last_contact ||
            *known.last_failure - *known.last_contact >= toucan::config::unreachable_after);
}

bool member_table::is_expired(const summary_record& it) const
{
    return clock_.now() - it.refreshed_at > config::summary_expiry;
}

void member_table::record_config_version(std::uint64_t version, vm_address peer)
{
    if (version > highest_config_version_ ||
        (version == highest_config_version_ && config_source_ && !is_reachable(*config_source_))) {
        highest_config_version_ = version;
        config_source_ = peer;
    }
}

member_table::peer_record* member_table::record_contact(const rpc::member_entry& entry)
{
    auto& peer = peers_[entry.id.address];
    const auto known = members_.find(entry.id.address);
    const auto newest =
        known == members_.end() ? peer.run : std::max(peer.run, known->second.entry.id.run);
    if (entry.id.run < newest) {
        return nullptr;
    }
    if (entry.id.run > peer.run) {
        // A new process has received nothing that was delivered to the previous one.
        peer = peer_record();
        peer.run = entry.id.run;
    }
    if (!entry.failure_domain.empty()) {
        peer.failure_domain = entry.failure_domain;
        if (entry.failure_domain == self_.failure_domain) {
            merge_member(entry);
        }
    }
    peer.last_contact = clock_.now();
    const auto member = members_.find(entry.id.address);
    if (member != members_.end()) {
        member->second.last_activity = clock_.now();
        if (member->second.entry.id.run == entry.id.run) {
            member->second.entry.config_version =
                std::max(member->second.entry.config_version, entry.config_version);
        }
    }
    record_config_version(entry.config_version, entry.id.address);
    return &peer;
}

void member_table::merge_member(const rpc::member_entry& entry)
{
    if (entry.id.address == self_.id.address || entry.failure_domain != self_.failure_domain) {
        return;
    }
    const auto known = members_.find(entry.id.address);
    if (known != members_.end()) {
        const auto& old = known->second.entry;
        if (entry.id.run < old.id.run ||
            (entry.id.run == old.id.run && entry.sequence <= old.sequence)) {
            return;
        }
    }
    const bool partial = entry.homes_since != 0;
    if (partial && (known == members_.end() || known->second.entry.id.run != entry.id.run ||
                    known->second.entry.sequence < entry.homes_since)) {
        // The list of homes that the changes are based on is missing. The caller of this function
        // asks the sender for the complete entry.
        return;
    }
    auto& record = members_[entry.id.address];
    if (known == members_.end() || !equal_when_forwarded(record.entry, entry)) {
        record.changed_at = ++revision_;
    }
    if (record.entry.id.run != entry.id.run) {
        record.last_activity = clock_.now();
        auto& peer = peers_[entry.id.address];
        if (peer.run < entry.id.run) {
            // Contact with the previous process does not show that the new one is reachable.
            peer = peer_record();
            peer.run = entry.id.run;
            peer.failure_domain = entry.failure_domain;
        }
    }
    auto homes = std::move(record.entry.homes);
    record.entry = entry;
    if (partial) {
        merge_homes(homes, entry.homes);
        record.entry.homes = std::move(homes);
        record.entry.homes_since = 0;
    }
    for (const auto& it : entry.leaving) {
        leaving_.record_leaving(it, clock_.now());
    }
}

void member_table::merge_summary(const rpc::domain_summary& summary, bool from_remote)
{
    if (summary.failure_domain == self_.failure_domain) {
        for (const auto& it : summary.entry_vms) {
            const auto& address = it.id.address;
            if (address != self_.id.address && !members_.contains(address) &&
                std::find(seeds_.begin(), seeds_.end(), address) == seeds_.end()) {
                seeds_.push_back(address);
            }
        }
        return;
    }
    auto& known = summaries_[summary.failure_domain];
    if (known.latest && !is_expired(known)) {
        const auto& old = *known.latest;
        const bool same_writer = old.writer.address == summary.writer.address;
        // The summary of a restarted writer is newer even if its wall clock was set back.
        const bool is_newer = same_writer && old.writer.run != summary.writer.run
                                  ? summary.writer.run > old.writer.run
                                  : summary.revision > old.revision;
        if (!is_newer) {
            return;
        }
    }
    known.latest = std::make_shared<const rpc::domain_summary>(summary);
    known.refreshed_at = clock_.now();
    for (const auto& it : summary.leaving) {
        leaving_.record_leaving(it, clock_.now());
    }
    if (!from_remote) {
        known.last_forwarded = known.latest;
        return;
    }
    using std::chrono::microseconds;
    const bool refresh_due = !known.last_forwarded ||
                             summary.revision < known.last_forwarded->revision ||
                             microseconds(summary.revision - known.last_forwarded->revision) >=
                                 config::summary_refresh_interval;
    if (refresh_due || differs_materially(*known.last_forwarded, summary)) {
        known.last_forwarded = known.latest;
        known.changed_at = ++revision_;
    }
}

std::vector<rpc::entry_vm> member_table::ready_entry_vms() const
{
    std::vector<rpc::entry_vm> out;
    if (self_.state == rpc::member_state::ready) {
        out.push_back({self_.id, self_.http_port});
    }
    for (const auto& [address, it] : members_) {
        if (it.entry.state == rpc::member_state::ready && is_reachable(address)) {
            out.push_back({it.entry.id, it.entry.http_port});
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

void member_table::add_local_summary(peer_record& peer, std::vector<rpc::domain_summary>& out)
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    rpc::domain_summary summary;
    summary.failure_domain = self_.failure_domain;
    summary.region = self_.region;
    summary.writer = self_.id;
    summary.config_version = self_.config_version;
    summary.entry_vms = ready_entry_vms();
    auto loads = current_loads_;
    summary.leaving = self_.leaving;
    for (const auto& [address, it] : members_) {
        summary.leaving.insert(summary.leaving.end(), it.entry.leaving.begin(),
                               it.entry.leaving.end());
        if (is_reachable(address)) {
            loads.insert(loads.end(), it.entry.homes.begin(), it.entry.homes.end());
        }
    }
    std::sort(summary.leaving.begin(), summary.leaving.end());
    summary.leaving.erase(std::unique(summary.leaving.begin(), summary.leaving.end()),
                          summary.leaving.end());
    if (summarize_loads_) {
        summary.services = summarize_loads_(loads);
    }
    const auto wall = static_cast<std::uint64_t>(
        duration_cast<microseconds>(clock_.wall_now().time_since_epoch()).count());
    summary.revision = std::max(wall, summary_revision_ + 1);
    const auto& sent = peer.last_sent_summary;
    const bool refresh_due = sent.revision == 0 || microseconds(summary.revision - sent.revision) >=
                                                       config::summary_refresh_interval;
    if (refresh_due || differs_materially(sent, summary)) {
        summary_revision_ = summary.revision;
        peer.last_sent_summary = summary;
        out.push_back(std::move(summary));
    }
}

rpc::sync_request member_table::make_sync_request(vm_address peer)
{
    const absl::MutexLock lock(&mutex_);
    auto& known = peers_[peer];
    rpc::sync_request request;
    request.sender = local_entry_for(known.failure_domain,
                                     known.run == incarnation() ? 0 : known.delivered_sequence);
    known.sent_sequence = self_.sequence;
    request.seen_run = known.run;
    request.seen_revision = known.seen_revision;
    if (!known.failure_domain.empty() && known.failure_domain != self_.failure_domain) {
        add_local_summary(known, request.summaries);
    }
    return request;
}

rpc::sync_reply member_table::handle_sync(const rpc::sync_request& request)
{
    const absl::MutexLock lock(&mutex_);
    remove_silent_members();
    auto* peer = record_contact(request.sender);
    const bool is_run_known = request.seen_run == self_.id.run;
    const auto seen = is_run_known ? request.seen_revision : 0;
    rpc::sync_reply reply;
    reply.revision = revision_;
    if (peer != nullptr && seen >= self_changed_at_) {
        peer->delivered_sequence = self_.sequence;
    }
    // A peer that has seen no revision gets the complete entry, even if one was delivered before.
    reply.receiver = peer == nullptr ? self_
                                     : local_entry_for(peer->failure_domain,
                                                       seen == 0 ? 0 : peer->delivered_sequence);
    const auto sender = members_.find(request.sender.id.address);
    const bool is_entry_outdated = sender == members_.end()
                                       ? request.sender.homes_since != 0
                                       : sender->second.entry.sequence < request.sender.sequence;
    if (peer == nullptr || peer->failure_domain.empty() || is_entry_outdated) {
        // The sender is an older incarnation, or its entry is unknown or incomplete here. The reply
        // with revision 0 makes the sender send its complete entry.
        reply.revision = 0;
        return reply;
    }
    const auto& domain = peer->failure_domain;
    if (domain != self_.failure_domain) {
        // If the summary of the requester's domain does not list the requester, its domain does not
        // know it yet. The summary gives it the addresses of its members.
        const auto requester_summary = summaries_.find(domain);
        if (requester_summary != summaries_.end() && requester_summary->second.latest &&
            !lists_entry_vm(*requester_summary->second.latest, request.sender.id)) {
            reply.summaries.push_back(*requester_summary->second.latest);
        }
    }
    for (const auto& it : request.summaries) {
        merge_summary(it, it.failure_domain == domain && domain != self_.failure_domain);
    }
    reply.revision = revision_;
    if (domain != self_.failure_domain) {
        if (!is_run_known) {
            peer->last_sent_summary = {};
        }
        add_local_summary(*peer, reply.summaries);
        return reply;
    }
    for (const auto& [address, it] : members_) {
        if (address != request.sender.id.address && (seen == 0 || it.changed_at > seen)) {
            reply.members.push_back(it.entry);
        }
    }
    for (const auto& [name, it] : summaries_) {
        // A full reply holds all summaries. Otherwise each member gets a summary from the gateway
        // that forwards it.
        if (it.latest && !is_expired(it) && (seen == 0 || it.changed_at > seen)) {
            reply.summaries.push_back(*it.latest);
        }
    }
    return reply;
}

void member_table::apply_sync_reply(vm_address peer, const rpc::sync_reply& reply)
{
    const absl::MutexLock lock(&mutex_);
    if (reply.receiver.id.address != peer) {
        return;
    }
    const auto before = peers_.find(peer);
    const auto sent = before == peers_.end() ? 0 : before->second.sent_sequence;
    auto* known = record_contact(reply.receiver);
    if (known == nullptr) {
        return;
    }
    known->last_failure.reset();
    const auto member = members_.find(peer);
    const bool is_entry_outdated = member == members_.end()
                                       ? reply.receiver.homes_since != 0
                                       : member->second.entry.sequence < reply.receiver.sequence;
    if (is_entry_outdated) {
        // The entry it is based on is missing, so the next request asks for the complete state.
        known->seen_revision = 0;
        known->delivered_sequence =
            reply.revision > 0 ? std::max(known->delivered_sequence, sent) : 0;
    }
    else if (reply.revision > 0) {
        known->seen_revision = std::max(known->seen_revision, reply.revision);
        known->delivered_sequence = std::max(known->delivered_sequence, sent);
    }
    else {
        known->delivered_sequence = 0;
    }
    const auto domain = known->failure_domain;
    for (const auto& it : reply.members) {
        merge_member(it);
    }
    for (const auto& it : reply.summaries) {
        merge_summary(it, domain != self_.failure_domain);
    }
    if (domain == self_.failure_domain && peer != self_.id.address) {
        last_sync_ = clock_.now();
    }
}

void member_table::record_sync_failure(vm_address peer)
{
    const absl::MutexLock lock(&mutex_);
    auto& known = peers_[peer];
    known.last_failure = clock_.now();
    // The lost request may have contained a summary, which must be sent again.
    known.last_sent_summary = {};
}

void member_table::set_seeds(std::vector<vm_address> seeds)
{
    const absl::MutexLock lock(&mutex_);
    seeds_ = std::move(seeds);
}

void member_table::set_state(rpc::member_state state)
{
    const absl::MutexLock lock(&mutex_);
    if (self_.state != state) {
        self_.state = state;
        advance_sequence();
    }
}

void member_table::set_config_version(std::uint64_t version)
{
    const absl::MutexLock lock(&mutex_);
    if (version > self_.config_version) {
        // Every sync contains the version, so the entry needs no new sequence for it.
        self_.config_version = version;
        if (version >= highest_config_version_) {
            highest_config_version_ = version;
            config_source_.reset();
        }
    }
}

void member_table::set_home_loads(std::vector<rpc::backend_load> homes)
{
    const absl::MutexLock lock(&mutex_);
    const auto now = clock_.now();
    absl::flat_hash_map<std::string, published_load> published;
    std::vector<rpc::backend_load> next;
    bool any_published = false;
    std::size_t kept = 0;
    for (const auto& it : homes) {
        const auto known = std::find_if(
            self_.homes.begin(), self_.homes.end(),
            [&](const rpc::backend_load& other) { return other.backend == it.backend; });
        const bool is_new = known == self_.homes.end();
        kept += is_new ? 0 : 1;
        const auto last = is_new ? published_load{} : published_loads_[it.backend.text()];
        const bool publish =
            is_new || differs_materially(*known, it) ||
            (*known != it && now - last.published_at >= config::load_refresh_interval);
        next.push_back(publish ? it : *known);
        published[it.backend.text()] = publish ? published_load{self_.sequence + 1, now} : last;
        any_published = any_published || publish;
    }
    const bool removed = kept < self_.homes.size();
    current_loads_ = std::move(homes);
    self_.homes = std::move(next);
    published_loads_ = std::move(published);
    if (removed) {
        home_removed_sequence_ = self_.sequence + 1;
    }
    if (removed || any_published) {
        advance_sequence();
    }
}

void member_table::record_leaving(const rpc::leaving_backend& signal)
{
    const absl::MutexLock lock(&mutex_);
    leaving_.record_leaving(signal, clock_.now());
    if (std::find(self_.leaving.begin(), self_.leaving.end(), signal) == self_.leaving.end()) {
        self_.leaving.push_back(signal);
        advance_sequence();
    }
}

void member_table::record_running(const backend_server_name& backend, incarnation run)
{
    const absl::MutexLock lock(&mutex_);
    leaving_.record_running(backend, run);
    const auto obsolete = std::remove_if(
        self_.leaving.begin(), self_.leaving.end(), [&](const rpc::leaving_backend& it) {
            return it.backend == backend && it.run != incarnation() && it.run < run;
        });
    if (obsolete != self_.leaving.end()) {
        self_.leaving.erase(obsolete, self_.leaving.end());
        advance_sequence();
    }
}

void member_table::remove_silent_members()
{
    const auto now = clock_.now();
    for (auto it = members_.begin(); it != members_.end();) {
        if (now - it->second.last_activity > config::member_retention) {
            peers_.erase(it->first);
            it = members_.erase(it);
        }
        else {
            ++it;
        }
    }
}

std::shared_ptr<const member_view> member_table::view() const
{
    const absl::MutexLock lock(&mutex_);
    auto out = std::make_shared<member_view>();
    out->self = self_;
    bool is_alone = true;
    for (const auto& [address, it] : members_) {
        const auto peer = peers_.find(address);
        const auto last_contact = peer == peers_.end() ? std::nullopt : peer->second.last_contact;
        out->members.push_back({it.entry, is_reachable(address), last_contact});
        is_alone = is_alone && !is_reachable(address) && confirmed_unreachable(address);
    }
    out->entry_vms = ready_entry_vms();
    for (const auto& [name, it] : summaries_) {
        if (it.latest) {
            out->summaries.push_back({it.latest, !is_expired(it)});
        }
    }
    out->seeds = seeds_;
    for (const auto& it : seeds_) {
        const auto peer = peers_.find(it);
        const bool is_domain_known = peer != peers_.end() && !peer->second.failure_domain.empty();
        if (it != self_.id.address && !is_domain_known) {
            out->unresolved_seeds.push_back(it);
            is_alone = is_alone && confirmed_unreachable(it);
        }
    }
    for (const auto& [address, it] : peers_) {
        if (it.last_failure && (!it.last_contact || *it.last_failure > *it.last_contact)) {
            out->failing_peers.insert(address);
        }
    }
    out->highest_config_version = std::max(highest_config_version_, self_.config_version);
    if (highest_config_version_ > self_.config_version) {
        out->config_source = config_source_;
    }
    out->leaving = leaving_.leaving();
    out->last_sync = last_sync_;
    out->is_alone = is_alone;
    return out;
}

} // namespace toucan::membership
