#include "toucan/policy/stop_schedule.h"

#include <algorithm>

namespace toucan::policy {

steady_time stop_schedule::latest_dispatch(bool idempotent, steady_time deadline,
                                           std::chrono::nanoseconds expected_duration) const
{
    if (deadline <= end) {
        return deadline;
    }
    return idempotent ? std::min(lenient_until, end - expected_duration) : steady_time::min();
}

} // namespace toucan::policy
