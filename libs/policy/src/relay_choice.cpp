#include "toucan/policy/relay_choice.h"

#include <algorithm>

namespace toucan::policy {

namespace {

/// Reply timeout after which another relay is chosen; it spans several consecutive lost datagrams.
constexpr milliseconds reply_timeout{450};
constexpr milliseconds probe_interval{1000};
/// Maximum number of daemons probed at a time. It is above one, so that member records of stopped
/// daemons do not delay a starting daemon.
constexpr std::size_t max_probes = 3;

} // namespace

bool precedes(const relay_candidate& lhs, const relay_candidate& rhs)
{
    return lhs.capacity != rhs.capacity ? lhs.capacity > rhs.capacity : lhs.id < rhs.id;
}

void relay_choice::add(const relay_candidate& it)
{
    remove(it.id);
    if (!precedes(it, self_)) {
        return;
    }
    const auto position =
        std::find_if(candidates_.begin(), candidates_.end(),
                     [&](const candidate& other) { return precedes(it, other.daemon); });
    candidates_.insert(position, {it, {}, {}, {}});
}

void relay_choice::remove(std::uint64_t id)
{
    std::erase_if(candidates_, [&](const candidate& it) { return it.daemon.id == id; });
}

relay_choice::candidate* relay_choice::find(std::uint64_t id)
{
    const auto it = std::find_if(candidates_.begin(), candidates_.end(),
                                 [&](const candidate& each) { return each.daemon.id == id; });
    return it == candidates_.end() ? nullptr : &*it;
}

void relay_choice::record_sent(std::uint64_t id, steady_time now)
{
    if (auto* it = find(id); it != nullptr) {
        it->last_message = now;
        it->unanswered_since = it->unanswered_since.value_or(now);
    }
}

void relay_choice::record_reply(std::uint64_t id, steady_time now)
{
    if (auto* it = find(id); it != nullptr) {
        it->last_reply = now;
        it->unanswered_since.reset();
    }
}

bool relay_choice::reachable(const candidate& it, steady_time now)
{
    return !it.unanswered_since || now - *it.unanswered_since <= reply_timeout;
}

bool relay_choice::recently_replied(const candidate& it, steady_time now)
{
    return reachable(it, now) && it.last_reply &&
           now - *it.last_reply <= probe_interval + reply_timeout;
}

std::optional<std::uint64_t> relay_choice::relay(steady_time now) const
{
    for (const auto& it : candidates_) {
        if (recently_replied(it, now)) {
            return it.daemon.id;
        }
    }
    for (const auto& it : candidates_) {
        if (reachable(it, now)) {
            return it.daemon.id;
        }
    }
    return std::nullopt;
}

std::vector<std::uint64_t> relay_choice::due_probes(steady_time now) const
{
    std::vector<std::uint64_t> due;
    for (const auto& it : candidates_) {
        if (recently_replied(it, now) || due.size() == max_probes) {
            break;
        }
        if (!it.last_message || now - *it.last_message >= probe_interval) {
            due.push_back(it.daemon.id);
        }
    }
    return due;
}

} // namespace toucan::policy
