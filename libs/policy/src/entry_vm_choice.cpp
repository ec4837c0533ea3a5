#include "toucan/policy/entry_vm_choice.h"

#include "toucan/base/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace toucan::policy {

namespace {

milliseconds delay_between(const steering::deployment_topology& topology, const region_name& lhs,
                           const region_name& rhs)
{
    for (const auto& it : topology.links) {
        if ((it.first == lhs && it.second == rhs) || (it.first == rhs && it.second == lhs)) {
            return it.one_way_delay;
        }
    }
    return milliseconds::max();
}

} // namespace

std::vector<vm_id> choose_entry_vms(const steering::deployment_topology& topology,
                                    std::string_view block, const failure_domain_name& home,
                                    absl::Span<const entry_candidate> candidates, std::size_t count)
{
    region_name region;
    for (const auto& it : topology.failure_domains) {
        if (it.name == home) {
            region = it.region;
        }
    }
    // Order of failure domains: that of the client block, others of its region, other regions by
    // delay. Ties are ordered by name, so that every process computes the same order.
    using distance = std::tuple<int, milliseconds, failure_domain_name>;
    std::vector<distance> order;
    for (const auto& it : topology.failure_domains) {
        if (it.name == home) {
            order.emplace_back(0, 0, it.name);
        }
        else if (it.region == region) {
            order.emplace_back(1, 0, it.name);
        }
        else {
            order.emplace_back(2, delay_between(topology, region, it.region), it.name);
        }
    }
    std::sort(order.begin(), order.end());

    std::vector<vm_id> chosen;
    for (const auto& [tier, delay, domain] : order) {
        std::vector<vm_address> ready;
        for (const auto& it : candidates) {
            if (it.failure_domain == domain && it.ready && !it.leaving) {
                ready.push_back(it.id.address);
            }
        }
        for (const auto& address : rendezvous_order(block, ready, count - chosen.size())) {
            const auto it = std::find_if(candidates.begin(), candidates.end(), [&](const auto& vm) {
                return vm.id.address == address && vm.ready && !vm.leaving;
            });
            chosen.push_back(it->id);
        }
        if (chosen.size() >= count) {
            break;
        }
    }
    return chosen;
}

} // namespace toucan::policy
