#include "peer_table.h"

#include "event_log.h"

#include "toucan/base/stable_hash.h"

#include <algorithm>

namespace toucan::edge {

namespace {

/// A daemon without a report for this long is left out of look-up answers.
constexpr milliseconds liveness_timeout{1600};

} // namespace

bool peer::is_newer(std::int64_t datagram_run, std::uint32_t datagram_number) const
{
    if (datagram_run == previous_run || datagram_run < run) {
        return false;
    }
    return datagram_run > run || datagram_number > number;
}

bool peer_table::add(const member_record& it, bool assumed_ready)
{
    const auto id = stable_hash(it.name);
    const auto known = peers_.find(id);
    if (known != peers_.end() && known->second.member.run == it.run) {
        known->second.member = it;
        return false;
    }
    peer entry;
    entry.previous_run = known == peers_.end() ? 0 : known->second.member.run;
    remove(it.name);
    entry.member = it;
    entry.ready = assumed_ready;
    entry.added = time_.now();
    peers_[id] = std::move(entry);
    auto& order = domains_[it.failure_domain];
    const policy::relay_candidate candidate{id, it.capacity};
    order.insert(std::upper_bound(order.begin(), order.end(), candidate, policy::precedes),
                 candidate);
    return true;
}

void peer_table::remove(const std::string& name)
{
    const auto id = stable_hash(name);
    const auto it = peers_.find(id);
    if (it == peers_.end()) {
        return;
    }
    const auto domain = domains_.find(it->second.member.failure_domain);
    std::erase_if(domain->second, [&](const auto& each) { return each.id == id; });
    if (domain->second.empty()) {
        domains_.erase(domain);
    }
    peers_.erase(it);
}

std::size_t peer_table::count_in(const failure_domain_name& domain) const
{
    const auto it = domains_.find(domain);
    return it == domains_.end() ? 0 : it->second.size();
}

peer* peer_table::find(member_id id)
{
    const auto it = peers_.find(id);
    return it == peers_.end() ? nullptr : &it->second;
}

const peer* peer_table::find(member_id id) const
{
    const auto it = peers_.find(id);
    return it == peers_.end() ? nullptr : &it->second;
}

void peer_table::merge_status(const member_status& it)
{
    auto* known = find(it.member);
    if (known == nullptr) {
        return;
    }
    const auto seen = time_.now() - it.age;
    if (seen < known->added || (known->last_seen && seen <= *known->last_seen)) {
        return;
    }
    known->last_seen = seen;
    known->ready = it.ready;
}

bool peer_table::record_report(peer& from, bool ready)
{
    const bool changed = from.ready != ready;
    if (changed) {
        log_event("peer_state", "name={} ready={}", from.member.name, ready);
    }
    from.ready = ready;
    from.last_seen = time_.now();
    last_contact_ = from.last_seen;
    return changed;
}

bool peer_table::seen_recently(const peer& it) const
{
    return it.last_seen && time_.now() - *it.last_seen < liveness_timeout;
}

bool peer_table::running(const peer& it) const
{
    return it.last_seen ? seen_recently(it) : time_.now() - it.added < liveness_timeout;
}

bool peer_table::alive(const std::string& name) const
{
    const auto it = peers_.find(stable_hash(name));
    return it != peers_.end() && it->second.ready && running(it->second);
}

bool peer_table::alive_at_last_contact(const std::string& name) const
{
    const auto it = peers_.find(stable_hash(name));
    if (it == peers_.end() || !it->second.ready) {
        return false;
    }
    const auto sign = it->second.last_seen.value_or(it->second.added);
    return !last_contact_ || *last_contact_ - sign < liveness_timeout;
}

bool peer_table::has_live_peer() const
{
    return std::any_of(peers_.begin(), peers_.end(),
                       [&](const auto& it) { return seen_recently(it.second); });
}

member_status peer_table::status_of(member_id id, const peer& it) const
{
    const auto age = it.last_seen ? time_.now() - *it.last_seen : time_.now() - it.added;
    return {id, std::chrono::duration_cast<milliseconds>(age), it.ready};
}

std::vector<member_status> peer_table::recent_statuses() const
{
    std::vector<member_status> all;
    for (const auto& [id, it] : peers_) {
        if (seen_recently(it)) {
            all.push_back(status_of(id, it));
        }
    }
    return all;
}

std::vector<std::string> peer_table::silent_for(milliseconds limit) const
{
    std::vector<std::string> names;
    for (const auto& [id, it] : peers_) {
        if (time_.now() - it.last_seen.value_or(it.added) > limit) {
            names.push_back(it.member.name);
        }
    }
    return names;
}

} // namespace toucan::edge
