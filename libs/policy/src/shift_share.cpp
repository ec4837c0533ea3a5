#include "toucan/policy/shift_share.h"

#include <cmath>

namespace toucan::policy {

std::uint64_t shift_share::part(std::uint64_t interval_number) const
{
    if (spender >= spenders) {
        return 0;
    }
    const std::uint64_t even = cap / spenders;
    const std::uint64_t rest = cap % spenders;
    // The remainder is a window of spenders that moves on by its own width in each interval.
    const std::uint64_t first = (interval_number % spenders) * rest % spenders;
    const std::uint64_t place = (spender + spenders - first) % spenders;
    return even + (place < rest ? 1 : 0);
}

std::uint64_t cap_requests(const steering::service& it)
{
    const double requests =
        it.shift.share * it.rate * static_cast<double>(it.shift.interval.count());
    return requests > 0 ? static_cast<std::uint64_t>(std::floor(requests + 1e-9)) : 0;
}

} // namespace toucan::policy
