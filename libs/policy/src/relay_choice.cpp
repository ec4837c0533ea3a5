#include "toucan/policy/relay_choice.h"

#include <algorithm>

namespace toucan::policy {

namespace {

/// Silence after which another daemon is chosen: several lost datagrams in a row.
constexpr milliseconds silence_limit{450};
constexpr milliseconds probe_interval{1000};
/// Probes at a time: rows of daemons that are gone must not hold up a daemon that starts.
constexpr std::size_t max_probes = 3;

} // namespace

bool precedes(const relay_candidate& lhs, const relay_candidate& rhs)
{
    return lhs.capacity != rhs.capacity ? lhs.capacity > rhs.capacity : lhs.id < rhs.id;
}

void relay_choice::add(const relay_candidate& it)
{
    remove(it.id);
    if (!precedes(it, own_)) {
        return;
    }
    const auto place =
        std::find_if(candidates_.begin(), candidates_.end(),
                     [&](const candidate& other) { return precedes(it, other.place); });
    candidates_.insert(place, {it, {}, {}, {}});
}

void relay_choice::remove(std::uint64_t id)
{
    std::erase_if(candidates_, [&](const candidate& it) { return it.place.id == id; });
}

relay_choice::candidate* relay_choice::find(std::uint64_t id)
{
    const auto it = std::find_if(candidates_.begin(), candidates_.end(),
                                 [&](const candidate& each) { return each.place.id == id; });
    return it == candidates_.end() ? nullptr : &*it;
}

void relay_choice::asked(std::uint64_t id, steady_time now)
{
    if (auto* it = find(id); it != nullptr) {
        it->asked = now;
        it->unanswered_since = it->unanswered_since.value_or(now);
    }
}

void relay_choice::heard(std::uint64_t id, steady_time now)
{
    if (auto* it = find(id); it != nullptr) {
        it->heard = now;
        it->unanswered_since.reset();
    }
}

bool relay_choice::possible(const candidate& it, steady_time now)
{
    return !it.unanswered_since || now - *it.unanswered_since <= silence_limit;
}

bool relay_choice::confirmed(const candidate& it, steady_time now)
{
    return possible(it, now) && it.heard && now - *it.heard <= probe_interval + silence_limit;
}

std::optional<std::uint64_t> relay_choice::relay(steady_time now) const
{
    for (const auto& it : candidates_) {
        if (confirmed(it, now)) {
            return it.place.id;
        }
    }
    for (const auto& it : candidates_) {
        if (possible(it, now)) {
            return it.place.id;
        }
    }
    return std::nullopt;
}

std::vector<std::uint64_t> relay_choice::due_probes(steady_time now) const
{
    std::vector<std::uint64_t> due;
    for (const auto& it : candidates_) {
        if (confirmed(it, now) || due.size() == max_probes) {
            break;
        }
        if (!it.asked || now - *it.asked >= probe_interval) {
            due.push_back(it.place.id);
        }
    }
    return due;
}

} // namespace toucan::policy
