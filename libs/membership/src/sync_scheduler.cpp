#include "toucan/membership/sync_scheduler.h"

#include "toucan/base/config.h"
#include "toucan/membership/gateway_selection.h"
#include "toucan/membership/membership_config.h"

#include <algorithm>
#include <set>
#include <utility>

namespace toucan::membership {

namespace {

/// Seeds that may be in a remote failure domain: all but those known to be elsewhere. Without this
/// a gateway could pick a seed of its own failure domain each time and never reach the remote one.
std::vector<vm_address> possible_seeds(const member_view& view, const failure_domain_name& remote)
{
    std::set<vm_address> elsewhere = {view.self.id.address};
    for (const auto& it : view.members) {
        elsewhere.insert(it.entry.id.address);
    }
    for (const auto& it : view.summaries) {
        if (it.summary->failure_domain == remote) {
            continue;
        }
        for (const auto& entry : it.summary->entry_vms) {
            elsewhere.insert(entry.id.address);
        }
    }
    auto seeds = view.seeds;
    std::erase_if(seeds, [&](const auto& it) { return elsewhere.contains(it); });
    return seeds;
}

/// Peers with the interval at which each is contacted while it answers.
std::map<vm_address, milliseconds> wanted_peers(const member_view& view)
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
        // A failure domain whose members are all starting names none, but one of them wrote this.
        if (known.empty()) {
            known.push_back(it.summary->writer.address);
        }
        const auto target = gateway_target(remote, view.self.id.address, known, view.failing,
                                           possible_seeds(view, remote));
        if (target) {
            out.emplace(*target, toucan::config::gateway_interval);
        }
    }
    for (const auto& it : view.contacts) {
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
    std::map<vm_address, plan> next;
    for (const auto& [peer, usual] : wanted_peers(view)) {
        const auto known = plans_.find(peer);
        auto it = known == plans_.end() ? plan{} : known->second;
        const bool failing = view.failing.contains(peer);
        // The first interval after a recovery is the usual one again.
        it.interval = failing ? std::max(it.interval, usual) : usual;
        if (known == plans_.end() || now - it.last >= it.interval) {
            out.push_back(peer);
            if (failing && known != plans_.end()) {
                it.interval = std::min(2 * it.interval, config::max_retry_interval);
            }
            it.last = now;
        }
        next.emplace(peer, it);
    }
    plans_ = std::move(next);
    return out;
}

} // namespace toucan::membership
