#include "peer_table.h"

#include "event_log.h"

#include "toucan/base/stable_hash.h"

#include <algorithm>

namespace toucan::edge {

namespace {

/// A daemon that was not heard for this long is not named to callers.
constexpr milliseconds alive_for{1600};

} // namespace

bool peer_table::add(const member_record& it)
{
    const auto id = stable_hash(it.name);
    const auto known = peers_.find(id);
    if (known != peers_.end() && known->second.member.run == it.run) {
        known->second.member = it;
        return false;
    }
    remove(it.name);
    peer fresh;
    fresh.member = it;
    fresh.added = time_.now();
    peers_[id] = std::move(fresh);
    auto& order = domains_[it.failure_domain];
    const policy::relay_candidate place{id, it.capacity};
    order.insert(std::upper_bound(order.begin(), order.end(), place, policy::precedes), place);
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

void peer_table::sign(const member_sign& it)
{
    auto* known = find(it.member);
    if (known == nullptr) {
        return;
    }
    const auto heard = time_.now() - it.age;
    if (heard < known->added || (known->heard && heard <= *known->heard)) {
        return;
    }
    known->heard = heard;
    known->ready = it.ready;
}

bool peer_table::heard(peer& from, bool ready)
{
    const bool changed = from.ready != ready;
    if (changed) {
        log_event("peer_state", "name={} ready={}", from.member.name, ready);
    }
    from.ready = ready;
    from.heard = time_.now();
    return changed;
}

bool peer_table::heard_lately(const peer& it) const
{
    return it.heard && time_.now() - *it.heard < alive_for;
}

bool peer_table::running(const peer& it) const
{
    return it.heard ? heard_lately(it) : time_.now() - it.added < alive_for;
}

bool peer_table::alive(const std::string& name) const
{
    const auto it = peers_.find(stable_hash(name));
    return it != peers_.end() && it->second.ready && running(it->second);
}

bool peer_table::hears_anyone() const
{
    return std::any_of(peers_.begin(), peers_.end(),
                       [&](const auto& it) { return heard_lately(it.second); });
}

member_sign peer_table::sign_of(member_id id, const peer& it) const
{
    const auto age = it.heard ? time_.now() - *it.heard : time_.now() - it.added;
    return {id, std::chrono::duration_cast<milliseconds>(age), it.ready};
}

std::vector<member_sign> peer_table::signs() const
{
    std::vector<member_sign> all;
    for (const auto& [id, it] : peers_) {
        if (heard_lately(it)) {
            all.push_back(sign_of(id, it));
        }
    }
    return all;
}

std::vector<std::string> peer_table::silent_for(milliseconds time) const
{
    std::vector<std::string> names;
    for (const auto& [id, it] : peers_) {
        if (time_.now() - it.heard.value_or(it.added) > time) {
            names.push_back(it.member.name);
        }
    }
    return names;
}

} // namespace toucan::edge
