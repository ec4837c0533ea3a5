#include "toucan/policy/load_share.h"

#include <algorithm>
#include <cmath>

namespace toucan::policy {

double own_load_limit(const server_use& use, double draw)
{
    const auto sharers = static_cast<double>(std::max<std::size_t>(use.sharers, 1));
    const double free = use.bound - use.total;
    const double limit =
        free >= 0 ? use.own + free / sharers : use.own * use.bound / std::max(use.total, 1e-9);
    // A daemon without load must be able to start sending. One in `sharers` daemons does at a time.
    const double min_load = draw * sharers < 1 ? 1 : 0;
    const double whole_slots = std::floor(limit);
    return std::max(min_load, whole_slots + (draw < limit - whole_slots ? 1 : 0));
}

} // namespace toucan::policy
