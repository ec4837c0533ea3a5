#include "toucan/policy/backend_health.h"

#include <algorithm>

namespace toucan::policy {

namespace {

constexpr double failure_weight = 0.15;
constexpr double latency_weight = 0.15;
/// Failure share above which a server receives only occasional requests.
constexpr double doubtful_share = 0.2;
/// Response time ratio to other servers above which a server counts as slow.
constexpr double doubtful_slowness = 2.2;
constexpr milliseconds min_backoff{300};
constexpr milliseconds max_backoff{2000};

} // namespace

void backend_health::add(backend_signal signal, steady_time now)
{
    last_signal_ = now;
    const bool failed = signal != backend_signal::good;
    failure_share_ += failure_weight * ((failed ? 1.0 : 0.0) - failure_share_);
    if (!failed) {
        backoff_ = milliseconds(0);
        return;
    }
    if (signal == backend_signal::unreachable || signal == backend_signal::replaced) {
        backoff_ = std::clamp(2 * backoff_, min_backoff, max_backoff);
        retry_at_ = now + backoff_;
    }
}

void backend_health::add_latency(double ratio)
{
    slowness_ += latency_weight * (std::min(ratio, 10.0) - slowness_);
}

health_state backend_health::state(steady_time now) const
{
    if (now < retry_at_) {
        return health_state::avoided;
    }
    const bool awaiting_success = backoff_ > milliseconds(0);
    if (awaiting_success || failure_share_ > doubtful_share || slowness_ > doubtful_slowness) {
        return health_state::doubtful;
    }
    return health_state::usable;
}

double backend_health::fitness(steady_time now) const
{
    if (state(now) == health_state::usable) {
        return 1;
    }
    if (backoff_ > milliseconds(0)) {
        return 0;
    }
    return (1 - failure_share_) * std::min(1.0, doubtful_slowness / std::max(slowness_, 1e-9));
}

} // namespace toucan::policy
