#include "link_table.h"

namespace toucan::daemon {

void link_table::update(const steering::deployment_topology& topology,
                        const region_name& local_region)
{
    const absl::MutexLock lock(&mutex_);
    for (const auto& region : topology.regions) {
        if (region == local_region) {
            continue;
        }
        const auto share = policy::link_share(topology, local_region, region);
        const auto it = links_.find(region);
        if (it != links_.end() && it->second.bytes_per_s == share) {
            continue;
        }
        links_.insert_or_assign(region, link{share, policy::link_budget(share, clock_.now())});
    }
}

bool link_table::allows(const region_name& region, std::size_t bytes) const
{
    const absl::MutexLock lock(&mutex_);
    const auto it = links_.find(region);
    return it != links_.end() && it->second.budget.allows(bytes, clock_.now());
}

bool link_table::try_spend(const region_name& region, std::size_t bytes)
{
    const absl::MutexLock lock(&mutex_);
    const auto it = links_.find(region);
    return it != links_.end() && it->second.budget.try_spend(bytes, clock_.now());
}

void link_table::spend(const region_name& region, std::size_t bytes)
{
    const absl::MutexLock lock(&mutex_);
    if (const auto it = links_.find(region); it != links_.end()) {
        it->second.budget.spend(bytes, clock_.now());
    }
}

} // namespace toucan::daemon
