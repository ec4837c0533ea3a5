#include "toucan/policy/load_share.h"

#include <algorithm>
#include <cmath>

namespace toucan::policy {

double local_load_limit(const server_load& load, double draw)
{
    const auto sharers = static_cast<double>(std::max<std::size_t>(load.sharers, 1));
    const double free = load.bound - load.total;
    const double limit = free >= 0 ? load.local + free / sharers
                                   : load.local * load.bound / std::max(load.total, 1e-9);
    // A daemon without load must be able to start sending. One in `sharers` daemons does at a time.
    const double min_load = draw * sharers < 1 ? 1 : 0;
    const double whole_slots = std::floor(limit);
    return std::max(min_load, whole_slots + (draw < limit - whole_slots ? 1 : 0));
}

} // namespace toucan::policy
