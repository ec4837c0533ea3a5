#include "region_traffic.h"

#include <fmt/format.h>

namespace toucan::edge {

namespace {

metrics::counter& total(metrics& all, const region_name& region, bool planned)
{
    return all.count(fmt::format("toucan_edge_requests_sent_total{{region=\"{}\",planned=\"{}\"}}",
                                 region.text(), planned));
}

metrics::counter& restricted(metrics& all, const region_name& region)
{
    return all.count(
        fmt::format("toucan_edge_restricted_requests_total{{region=\"{}\"}}", region.text()));
}

} // namespace

region_traffic::counts& region_traffic::of(const region_name& region)
{
    const auto it = regions_.find(region);
    if (it != regions_.end()) {
        return it->second;
    }
    return regions_
        .emplace(region, counts{total(metrics_, region, true), total(metrics_, region, false),
                                restricted(metrics_, region)})
        .first->second;
}

void region_traffic::count(const region_name& region, bool planned)
{
    auto& it = of(region);
    ++(planned ? it.planned_total : it.overflow_total);
    ++(planned ? it.planned : it.overflow);
}

std::string region_traffic::take_recent()
{
    std::string planned;
    std::string overflow;
    for (auto& [region, it] : regions_) {
        if (it.planned > 0) {
            planned +=
                fmt::format("{}{}:{}", planned.empty() ? "" : ",", region.text(), it.planned);
        }
        if (it.overflow > 0) {
            overflow +=
                fmt::format("{}{}:{}", overflow.empty() ? "" : ",", region.text(), it.overflow);
        }
        it.planned = 0;
        it.overflow = 0;
    }
    return planned.empty() && overflow.empty()
               ? std::string()
               : fmt::format("planned=\"{}\" overflow=\"{}\"", planned, overflow);
}

} // namespace toucan::edge
