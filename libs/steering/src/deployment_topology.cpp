#include "toucan/steering/deployment_topology.h"

#include <algorithm>

namespace toucan::steering {

const failure_domain* deployment_topology::find(const failure_domain_name& name) const
{
    const auto it = std::find_if(failure_domains.begin(), failure_domains.end(),
                                 [&](const auto& candidate) { return candidate.name == name; });
    return it == failure_domains.end() ? nullptr : &*it;
}

const link* deployment_topology::find_link(const region_name& lhs, const region_name& rhs) const
{
    const auto it = std::find_if(links.begin(), links.end(), [&](const link& candidate) {
        return (candidate.first == lhs && candidate.second == rhs) ||
               (candidate.first == rhs && candidate.second == lhs);
    });
    return it == links.end() ? nullptr : &*it;
}

} // namespace toucan::steering
