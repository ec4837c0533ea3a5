#include "toucan/membership/sync_scheduler.h"

#include "toucan/base/config.h"
#include "toucan/membership/gateway_selection.h"
#include "toucan/membership/membership_config.h"

#include <algorithm>
#include <set>
#include <utility>

namespace toucan::membership {

namespace {

/// Seeds that may be in the remote failure domain: all except those known to be in another one.
/// Otherwise a gateway could select a seed of its own failure domain each time and never reach the
/// remote one.
std::vector<vm_address> candidate_seeds(const member_view& view, const failure_domain_name& remote)
{
    std::set<vm_address> excluded = {view.self.id.address};
    for (const auto& it : view.members) {
        excluded.insert(it.entry.id.address);
    }
    for (const auto& it : view.summaries) {
        if (it.summary->failure_domain == remote) {
            continue;
        }
        for (const auto& entry : it.summary->entry_vms) {
            excluded.insert(entry.id.address);
        }
    }
    auto seeds = view.seeds;
    std::erase_if(seeds, [&](const auto& it) { return excluded.contains(it); });
    return seeds;
}

/// Peers to sync with, and the sync interval of each while it answers.
std::map<vm_address, milliseconds> peers_with_interval(const member_view& view)
{
    std::map<vm_address, milliseconds> out;
    for (const auto& it : view.summaries) {
        const auto& remote = it.summary->failure_domain;
        const auto chosen = gateways(view.self.failure_domain, remote, view.ready_addresses());
        if (std::find(chosen.begin(), chosen.end(), view.self.id.address) == chosen.end()) {
            continue;
        }
        std::vector<vm_address> known;
        for (const auto& entry : it.summary->entry_vms) {
            known.push_back(entry.id.address);
        }
        // The summary lists no entry VM while all members are starting. Its writer is one of them.
        if (known.empty()) {
            known.push_back(it.summary->writer.address);
        }
        const auto target = gateway_target(remote, view.self.id.address, known, view.failing_peers,
                                           candidate_seeds(view, remote));
        if (target) {
            out.emplace(*target, toucan::config::gateway_interval);
        }
    }
    for (const auto& it : view.unresolved_seeds) {
        out[it] = toucan::config::sync_interval;
    }
    for (const auto& it : view.members) {
        out[it.entry.id.address] = toucan::config::sync_interval;
    }
    return out;
}

} // namespace

std::vector<vm_address> sync_scheduler::due(const member_view& view, steady_time now)
{
    std::vector<vm_address> out;
    std::map<vm_address, peer_schedule> next;
    for (const auto& [peer, base_interval] : peers_with_interval(view)) {
        const auto known = schedules_.find(peer);
        auto it = known == schedules_.end() ? peer_schedule{} : known->second;
        const bool failing = view.failing_peers.contains(peer);
        // A peer that answers again returns to its base interval at once.
        it.interval = failing ? std::max(it.interval, base_interval) : base_interval;
        if (known == schedules_.end() || now - it.last_due >= it.interval) {
            out.push_back(peer);
            if (failing && known != schedules_.end()) {
                it.interval = std::min(2 * it.interval, config::max_retry_interval);
            }
            it.last_due = now;
        }
        next.emplace(peer, it);
    }
    schedules_ = std::move(next);
    return out;
}

} // namespace toucan::membership
