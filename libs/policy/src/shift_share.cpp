#include "toucan/policy/shift_share.h"

#include <cmath>

namespace toucan::policy {

std::uint64_t shift_share::allowance(std::uint64_t interval_number) const
{
    if (index >= count) {
        return 0;
    }
    const std::uint64_t even_share = cap / count;
    const std::uint64_t remainder = cap % count;
    // The remainder goes to a window of spenders, which advances by its own width per interval.
    const std::uint64_t window_start = (interval_number % count) * remainder % count;
    const std::uint64_t window_offset = (index + count - window_start) % count;
    return even_share + (window_offset < remainder ? 1 : 0);
}

std::uint64_t cap_requests(const steering::service& it)
{
    const double requests =
        it.shift.share * it.rate * static_cast<double>(it.shift.interval.count());
    return requests > 0 ? static_cast<std::uint64_t>(std::floor(requests + 1e-9)) : 0;
}

} // namespace toucan::policy
