#include "toucan/policy/eviction_order.h"

#include <algorithm>
#include <utility>

namespace toucan::policy {

void eviction_order::add(connection_id id, steady_time now)
{
    entry it;
    it.window_start = now;
    it.last_progress = now;
    entries_[id] = it;
}

void eviction_order::record_bytes(connection_id id, std::size_t bytes, steady_time now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    auto& it = found->second;
    if (now - it.window_start > settings_.window) {
        it.window_start = now;
        it.window_bytes = 0;
    }
    it.window_bytes += bytes;
    if (static_cast<double>(it.window_bytes) >=
        settings_.progress_share * static_cast<double>(it.held)) {
        it.last_progress = now;
        it.window_start = now;
        it.window_bytes = 0;
    }
}

void eviction_order::set_held(connection_id id, std::size_t bytes)
{
    if (const auto it = entries_.find(id); it != entries_.end()) {
        it->second.held = bytes;
    }
}

void eviction_order::set_waits_for_peer(connection_id id, bool waits, steady_time now)
{
    const auto it = entries_.find(id);
    if (it == entries_.end() || it->second.waits_for_peer == waits) {
        return;
    }
    it->second.waits_for_peer = waits;
    it->second.last_progress = now;
}

bool eviction_order::qualifies(connection_id id, steady_time now,
                               std::chrono::milliseconds min_stalled) const
{
    const auto it = entries_.find(id);
    return it != entries_.end() && it->second.waits_for_peer &&
           now - it->second.last_progress >= min_stalled;
}

void eviction_order::find_candidates(steady_time now, std::chrono::milliseconds min_stalled)
{
    std::vector<std::pair<double, connection_id>> all;
    for (const auto& [id, it] : entries_) {
        if (qualifies(id, now, min_stalled)) {
            const auto stalled = std::chrono::duration<double>(now - it.last_progress).count();
            all.emplace_back(stalled * static_cast<double>(it.held), id);
        }
    }
    const auto count = std::min(settings_.batch, all.size());
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(all.begin(), end, all.end(), std::greater<>());
    for (auto it = std::make_reverse_iterator(end); it != all.rend(); ++it) {
        candidates_.push_back(it->second);
    }
}

std::optional<eviction_order::connection_id>
eviction_order::take_next(steady_time now, std::chrono::milliseconds min_stalled)
{
    const bool exhausted = exhausted_at_ && now - *exhausted_at_ < settings_.pass_interval &&
                           min_stalled >= exhausted_stalled_;
    for (int pass = 0; pass < 2; ++pass) {
        while (!candidates_.empty()) {
            const auto id = candidates_.back();
            candidates_.pop_back();
            if (qualifies(id, now, min_stalled)) {
                entries_.erase(id);
                return id;
            }
        }
        if (exhausted || pass > 0) {
            break;
        }
        find_candidates(now, min_stalled);
    }
    if (!exhausted) {
        exhausted_at_ = now;
        exhausted_stalled_ = min_stalled;
    }
    return std::nullopt;
}

} // namespace toucan::policy
