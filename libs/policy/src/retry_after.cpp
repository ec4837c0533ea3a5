#include "toucan/policy/retry_after.h"

#include "toucan/base/config.h"
#include "toucan/policy/tunables.h"

#include <algorithm>

namespace toucan::policy {

milliseconds retry_after(const retry_hint& hint)
{
    std::chrono::nanoseconds base = hint.expected_wait;
    switch (hint.reason) {
    case refusal_reason::shift_cap:
        base = hint.shift_renewal;
        break;
    case refusal_reason::no_credit:
        base = std::max<std::chrono::nanoseconds>(base, config::credit_lifetime / 2);
        break;
    case refusal_reason::no_backend:
        base = config::sync_interval;
        break;
    case refusal_reason::link_budget:
        base = link_burst;
        break;
    case refusal_reason::deadline:
    case refusal_reason::queue_full:
    case refusal_reason::displaced:
        break;
    }
    auto wait = std::clamp(std::chrono::duration_cast<milliseconds>(base), min_retry_after,
                           max_retry_after);
    if (hint.priority == steering::request_class::deferrable) {
        wait *= 2;
    }
    const auto jitter_range = static_cast<std::uint64_t>(wait.count() / 2 + 1);
    wait += milliseconds(static_cast<std::int64_t>(hint.spread % jitter_range));
    return std::min(wait, max_retry_after);
}

} // namespace toucan::policy
