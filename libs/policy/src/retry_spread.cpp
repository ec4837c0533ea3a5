#include "toucan/policy/retry_spread.h"

#include <algorithm>

namespace toucan::policy {

namespace {

/// Multiple of the longest delay beyond which times are not reserved. Without it, an overload would
/// delay retries long after its end.
constexpr int reserved_ahead = 4;

} // namespace

milliseconds retry_spread::next(std::chrono::nanoseconds wait, std::chrono::nanoseconds interval,
                                const bounds& within, steady_time now)
{
    // A delay is sent in milliseconds, so smaller intervals would give equal delays.
    const auto step = std::max<std::chrono::nanoseconds>(interval, milliseconds(1));
    // If the wait exceeds the bounds, the delays still differ.
    const auto first = std::clamp<std::chrono::nanoseconds>(wait, within.shortest,
                                                            (within.shortest + within.longest) / 2);
    last_ = std::max(now + first, last_ + step);
    if (last_ > now + reserved_ahead * within.longest) {
        last_ = now + first;
    }
    const auto range = within.longest - first + milliseconds(1);
    return std::chrono::floor<milliseconds>(first + (last_ - now - first) % range);
}

} // namespace toucan::policy
