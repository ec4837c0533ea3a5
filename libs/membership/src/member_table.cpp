#include "toucan/membership/member_table.h"

#include "summary_change.h"
#include "toucan/base/config.h"
#include "toucan/membership/membership_config.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucan::membership {

namespace {

/// Load and configuration version reach every member directly and are not forwarded.
bool alike_for_others(const rpc::member_entry& lhs, const rpc::member_entry& rhs)
{
    return lhs.id == rhs.id && lhs.http_port == rhs.http_port && lhs.state == rhs.state &&
           lhs.leaving == rhs.leaving;
}

bool names(const rpc::domain_summary& summary, const vm_id& id)
{
    return std::any_of(summary.entry_vms.begin(), summary.entry_vms.end(),
                       [&](const auto& it) { return it.id == id; });
}

/// Whether a changed load matters to the choice of a backend server at once.
bool differs_materially(const rpc::backend_load& before, const rpc::backend_load& after)
{
    const auto used = double(before.in_use) + before.queued;
    const auto now_used = double(after.in_use) + after.queued;
    return before.admitted_slots != after.admitted_slots || (used == 0) != (now_used == 0) ||
           (used >= before.admitted_slots) != (now_used >= after.admitted_slots) ||
           std::abs(now_used - used) >= config::load_change_share * after.admitted_slots;
}

/// Adds the changed homes of a partial list to the known ones.
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
    : clock_(time), summarise_(std::move(self.summarise))
{
    self_.id = self.id;
    self_.http_port = self.http_port;
    self_.failure_domain = std::move(self.failure_domain);
    self_.region = std::move(self.region);
    self_.sequence = 1;
}

void member_table::changed()
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

rpc::member_entry member_table::own_entry(const failure_domain_name& domain,
                                          std::uint64_t delivered) const
{
    const bool elsewhere = !domain.empty() && domain != self_.failure_domain;
    // Other failure domains use only the place of the entry, which does not change.
    if (delivered == self_.sequence || (elsewhere && delivered > 0)) {
        return heartbeat();
    }
    if (!elsewhere && (delivered == 0 || delivered < home_removed_at_)) {
        return self_;
    }
    auto out = heartbeat();
    out.http_port = self_.http_port;
    out.failure_domain = self_.failure_domain;
    out.region = self_.region;
    if (elsewhere) {
        return out;
    }
    out.leaving = self_.leaving;
    out.homes_since = delivered;
    for (const auto& it : self_.homes) {
        const auto sent = published_.find(it.backend.text());
        if (sent == published_.end() || sent->second.sequence > delivered) {
            out.homes.push_back(it);
        }
    }
    return out;
}

bool member_table::reachable(vm_address peer) const
{
    const auto it = peers_.find(peer);
    return it != peers_.end() && it->second.heard &&
           clock_.now() - *it->second.heard < toucan::config::unreachable_after;
}

bool member_table::given_up(vm_address peer) const
{
    const auto it = peers_.find(peer);
    if (it == peers_.end() || !it->second.failed) {
        return false;
    }
    // A failure from before a pause proves nothing, nor does one from before the peer fell silent.
    const auto& known = it->second;
    return clock_.now() - *known.failed <= config::failure_evidence &&
           (!known.heard || *known.failed - *known.heard >= toucan::config::unreachable_after);
}

bool member_table::expired(const summary_record& it) const
{
    return clock_.now() - it.refreshed > config::summary_expiry;
}

void member_table::note_config(std::uint64_t version, vm_address peer)
{
    if (version > highest_config_ ||
        (version == highest_config_ && config_source_ && !reachable(*config_source_))) {
        highest_config_ = version;
        config_source_ = peer;
    }
}

member_table::peer_record* member_table::note_contact(const rpc::member_entry& entry)
{
    auto& peer = peers_[entry.id.address];
    const auto known = members_.find(entry.id.address);
    const auto newest =
        known == members_.end() ? peer.run : std::max(peer.run, known->second.entry.id.run);
    if (entry.id.run < newest) {
        return nullptr;
    }
    if (entry.id.run > peer.run) {
        // Another process: nothing that was delivered to the former one counts.
        peer = peer_record();
        peer.run = entry.id.run;
    }
    if (!entry.failure_domain.empty()) {
        peer.failure_domain = entry.failure_domain;
        if (entry.failure_domain == self_.failure_domain) {
            merge_member(entry);
        }
    }
    peer.heard = clock_.now();
    const auto member = members_.find(entry.id.address);
    if (member != members_.end()) {
        member->second.touched = clock_.now();
        if (member->second.entry.id.run == entry.id.run) {
            member->second.entry.config_version =
                std::max(member->second.entry.config_version, entry.config_version);
        }
    }
    note_config(entry.config_version, entry.id.address);
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
        // Changes to homes that are not known; the sender is asked for the complete entry.
        return;
    }
    auto& record = members_[entry.id.address];
    if (known == members_.end() || !alike_for_others(record.entry, entry)) {
        record.changed_at = ++revision_;
    }
    if (record.entry.id.run != entry.id.run) {
        record.touched = clock_.now();
        auto& peer = peers_[entry.id.address];
        if (peer.run < entry.id.run) {
            // Contact with the former process says nothing about the new one.
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
        leaving_.note_leaving(it, clock_.now());
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
    if (known.latest && !expired(known)) {
        const auto& old = *known.latest;
        const bool same_writer = old.writer.address == summary.writer.address;
        // A restarted writer counts as later even if its wall clock was set back.
        const bool later = same_writer && old.writer.run != summary.writer.run
                               ? summary.writer.run > old.writer.run
                               : summary.revision > old.revision;
        if (!later) {
            return;
        }
    }
    known.latest = std::make_shared<const rpc::domain_summary>(summary);
    known.refreshed = clock_.now();
    for (const auto& it : summary.leaving) {
        leaving_.note_leaving(it, clock_.now());
    }
    if (!from_remote) {
        known.forwarded = known.latest;
        return;
    }
    using std::chrono::microseconds;
    const bool refresh_due =
        !known.forwarded || summary.revision < known.forwarded->revision ||
        microseconds(summary.revision - known.forwarded->revision) >= config::summary_refresh;
    if (refresh_due || differs_materially(*known.forwarded, summary)) {
        known.forwarded = known.latest;
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
        if (it.entry.state == rpc::member_state::ready && reachable(address)) {
            out.push_back({it.entry.id, it.entry.http_port});
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

void member_table::add_own_summary(peer_record& peer, std::vector<rpc::domain_summary>& out)
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    rpc::domain_summary made;
    made.failure_domain = self_.failure_domain;
    made.region = self_.region;
    made.writer = self_.id;
    made.config_version = self_.config_version;
    made.entry_vms = ready_entry_vms();
    auto loads = own_loads_;
    made.leaving = self_.leaving;
    for (const auto& [address, it] : members_) {
        made.leaving.insert(made.leaving.end(), it.entry.leaving.begin(), it.entry.leaving.end());
        if (reachable(address)) {
            loads.insert(loads.end(), it.entry.homes.begin(), it.entry.homes.end());
        }
    }
    std::sort(made.leaving.begin(), made.leaving.end());
    made.leaving.erase(std::unique(made.leaving.begin(), made.leaving.end()), made.leaving.end());
    if (summarise_) {
        made.services = summarise_(loads);
    }
    const auto wall = static_cast<std::uint64_t>(
        duration_cast<microseconds>(clock_.wall_now().time_since_epoch()).count());
    made.revision = std::max(wall, summary_revision_ + 1);
    const auto& sent = peer.sent_summary;
    const bool refresh_due = sent.revision == 0 ||
                             microseconds(made.revision - sent.revision) >= config::summary_refresh;
    if (refresh_due || differs_materially(sent, made)) {
        summary_revision_ = made.revision;
        peer.sent_summary = made;
        out.push_back(std::move(made));
    }
}

rpc::sync_request member_table::make_sync(vm_address peer)
{
    const absl::MutexLock lock(&mutex_);
    auto& known = peers_[peer];
    rpc::sync_request request;
    request.sender =
        own_entry(known.failure_domain, known.run == incarnation() ? 0 : known.delivered_sequence);
    known.sent_sequence = self_.sequence;
    request.seen_run = known.run;
    request.seen_revision = known.seen_revision;
    if (!known.failure_domain.empty() && known.failure_domain != self_.failure_domain) {
        add_own_summary(known, request.summaries);
    }
    return request;
}

rpc::sync_reply member_table::handle_sync(const rpc::sync_request& request)
{
    const absl::MutexLock lock(&mutex_);
    forget_old();
    auto* peer = note_contact(request.sender);
    const bool known_run = request.seen_run == self_.id.run;
    const auto seen = known_run ? request.seen_revision : 0;
    rpc::sync_reply reply;
    reply.revision = revision_;
    if (peer != nullptr && seen >= self_changed_at_) {
        peer->delivered_sequence = self_.sequence;
    }
    // A peer that has seen nothing is given the complete entry, whatever was delivered before.
    reply.receiver =
        peer == nullptr ? self_
                        : own_entry(peer->failure_domain, seen == 0 ? 0 : peer->delivered_sequence);
    const auto sender = members_.find(request.sender.id.address);
    const bool outdated = sender == members_.end()
                              ? request.sender.homes_since != 0
                              : sender->second.entry.sequence < request.sender.sequence;
    if (peer == nullptr || peer->failure_domain.empty() || outdated) {
        // A former process, or one whose entry is not known; it learns who answers, and sends more.
        reply.revision = 0;
        return reply;
    }
    const auto& domain = peer->failure_domain;
    if (domain != self_.failure_domain) {
        // A summary without the requester means that its own domain has not found it yet.
        const auto theirs = summaries_.find(domain);
        if (theirs != summaries_.end() && theirs->second.latest &&
            !names(*theirs->second.latest, request.sender.id)) {
            reply.summaries.push_back(*theirs->second.latest);
        }
    }
    for (const auto& it : request.summaries) {
        merge_summary(it, it.failure_domain == domain && domain != self_.failure_domain);
    }
    reply.revision = revision_;
    if (domain != self_.failure_domain) {
        if (!known_run) {
            peer->sent_summary = {};
        }
        add_own_summary(*peer, reply.summaries);
        return reply;
    }
    for (const auto& [address, it] : members_) {
        if (address != request.sender.id.address && (seen == 0 || it.changed_at > seen)) {
            reply.members.push_back(it.entry);
        }
    }
    for (const auto& [name, it] : summaries_) {
        // A full answer holds all; otherwise the gateway that forwards a summary tells each member.
        if (it.latest && !expired(it) && (seen == 0 || it.changed_at > seen)) {
            reply.summaries.push_back(*it.latest);
        }
    }
    return reply;
}

void member_table::apply(vm_address peer, const rpc::sync_reply& reply)
{
    const absl::MutexLock lock(&mutex_);
    if (reply.receiver.id.address != peer) {
        return;
    }
    const auto before = peers_.find(peer);
    const auto sent = before == peers_.end() ? 0 : before->second.sent_sequence;
    auto* known = note_contact(reply.receiver);
    if (known == nullptr) {
        return;
    }
    known->failed.reset();
    const auto member = members_.find(peer);
    const bool outdated = member == members_.end()
                              ? reply.receiver.homes_since != 0
                              : member->second.entry.sequence < reply.receiver.sequence;
    if (outdated) {
        // The entry builds on one that is not known: the next request asks for everything.
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

void member_table::note_unreachable(vm_address peer)
{
    const absl::MutexLock lock(&mutex_);
    auto& known = peers_[peer];
    known.failed = clock_.now();
    // The lost request may have carried a summary.
    known.sent_summary = {};
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
        changed();
    }
}

void member_table::set_config_version(std::uint64_t version)
{
    const absl::MutexLock lock(&mutex_);
    if (version > self_.config_version) {
        // Every sync carries the version, so this alone does not make the entry be sent again.
        self_.config_version = version;
        if (version >= highest_config_) {
            highest_config_ = version;
            config_source_.reset();
        }
    }
}

void member_table::set_homes(std::vector<rpc::backend_load> homes)
{
    const absl::MutexLock lock(&mutex_);
    const auto now = clock_.now();
    absl::flat_hash_map<std::string, published_load> published;
    std::vector<rpc::backend_load> next;
    bool any_sent = false;
    std::size_t kept = 0;
    for (const auto& it : homes) {
        const auto known = std::find_if(
            self_.homes.begin(), self_.homes.end(),
            [&](const rpc::backend_load& other) { return other.backend == it.backend; });
        const bool is_new = known == self_.homes.end();
        kept += is_new ? 0 : 1;
        const auto last = is_new ? published_load{} : published_[it.backend.text()];
        const bool send = is_new || differs_materially(*known, it) ||
                          (*known != it && now - last.at >= config::load_refresh);
        next.push_back(send ? it : *known);
        published[it.backend.text()] = send ? published_load{self_.sequence + 1, now} : last;
        any_sent = any_sent || send;
    }
    const bool removed = kept < self_.homes.size();
    own_loads_ = std::move(homes);
    self_.homes = std::move(next);
    published_ = std::move(published);
    if (removed) {
        home_removed_at_ = self_.sequence + 1;
    }
    if (removed || any_sent) {
        changed();
    }
}

void member_table::note_leaving(const rpc::leaving_backend& signal)
{
    const absl::MutexLock lock(&mutex_);
    leaving_.note_leaving(signal, clock_.now());
    if (std::find(self_.leaving.begin(), self_.leaving.end(), signal) == self_.leaving.end()) {
        self_.leaving.push_back(signal);
        changed();
    }
}

void member_table::note_running(const backend_server_name& backend, incarnation run)
{
    const absl::MutexLock lock(&mutex_);
    leaving_.note_running(backend, run);
    const auto obsolete = std::remove_if(
        self_.leaving.begin(), self_.leaving.end(), [&](const rpc::leaving_backend& it) {
            return it.backend == backend && it.run != incarnation() && it.run < run;
        });
    if (obsolete != self_.leaving.end()) {
        self_.leaving.erase(obsolete, self_.leaving.end());
        changed();
    }
}

void member_table::forget_old()
{
    const auto now = clock_.now();
    for (auto it = members_.begin(); it != members_.end();) {
        if (now - it->second.touched > config::forget_after) {
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
    bool alone = true;
    for (const auto& [address, it] : members_) {
        const auto peer = peers_.find(address);
        const auto heard = peer == peers_.end() ? std::nullopt : peer->second.heard;
        out->members.push_back({it.entry, reachable(address), heard});
        alone = alone && !reachable(address) && given_up(address);
    }
    out->entry_vms = ready_entry_vms();
    for (const auto& [name, it] : summaries_) {
        if (it.latest) {
            out->summaries.push_back({it.latest, !expired(it)});
        }
    }
    out->seeds = seeds_;
    for (const auto& it : seeds_) {
        const auto peer = peers_.find(it);
        const bool placed = peer != peers_.end() && !peer->second.failure_domain.empty();
        if (it != self_.id.address && !placed) {
            out->contacts.push_back(it);
            alone = alone && given_up(it);
        }
    }
    for (const auto& [address, it] : peers_) {
        if (it.failed && (!it.heard || *it.failed > *it.heard)) {
            out->failing.insert(address);
        }
    }
    out->highest_config_version = std::max(highest_config_, self_.config_version);
    if (highest_config_ > self_.config_version) {
        out->config_source = config_source_;
    }
    out->leaving = leaving_.leaving();
    out->last_sync = last_sync_;
    out->is_alone = alone;
    return out;
}

} // namespace toucan::membership
