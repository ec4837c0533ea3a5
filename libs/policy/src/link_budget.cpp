#include "toucan/policy/link_budget.h"

#include "toucan/policy/tunables.h"

#include <algorithm>

namespace toucan::policy {

link_budget::link_budget(double bytes_per_s, steady_time now)
    : rate_(std::max(bytes_per_s, 0.0)),
      burst_(rate_ * std::chrono::duration<double>(link_burst).count()), tokens_(burst_),
      updated_at_(now)
{
}

bool link_budget::try_spend(std::uint64_t bytes, steady_time now)
{
    if (!allows(bytes, now)) {
        return false;
    }
    spend(bytes, now);
    return true;
}

void link_budget::spend(std::uint64_t bytes, steady_time now)
{
    tokens_ = tokens(now) - static_cast<double>(bytes);
    updated_at_ = std::max(updated_at_, now);
}

bool link_budget::allows(std::uint64_t bytes, steady_time now) const
{
    return rate_ > 0 && tokens(now) >= std::min(static_cast<double>(bytes), burst_);
}

double link_budget::tokens(steady_time now) const
{
    const std::chrono::duration<double> elapsed =
        now > updated_at_ ? now - updated_at_ : steady_time::duration(0);
    return std::min(burst_, tokens_ + rate_ * elapsed.count());
}

double link_share(const steering::deployment_topology& topology, const region_name& from,
                  const region_name& to)
{
    double bytes_per_s = 0;
    for (const auto& it : topology.links) {
        if ((it.first == from && it.second == to) || (it.first == to && it.second == from)) {
            bytes_per_s = it.mbit_per_s * 1e6 / 8;
        }
    }
    std::uint32_t entry_vms = 0;
    for (const auto& it : topology.failure_domains) {
        entry_vms += it.region == from ? it.entry_vms : 0;
    }
    return entry_vms > 0 ? bytes_per_s / entry_vms : 0;
}

} // namespace toucan::policy
