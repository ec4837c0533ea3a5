#include "toucan/policy/cold_limit.h"

#include <algorithm>

namespace toucan::policy {

namespace {

/// Fraction of the bound that is used. Requests sent at different times can arrive together.
constexpr double safety_factor = 0.85;
/// Slightly longer than the second for which the rate is defined.
constexpr milliseconds window{1050};

} // namespace

void cold_limit::configure(const cold_rate& rate, std::size_t daemons, std::size_t rank)
{
    const auto total = static_cast<std::size_t>(
        std::max(0.0, safety_factor * (rate.requests_per_s * rate.factor + rate.slack)));
    const auto sharers = std::max<std::size_t>(daemons, 1);
    max_requests_ = total / sharers + (rank < total % sharers ? 1 : 0);
}

std::size_t cold_limit::recent_requests(steady_time now) const
{
    return static_cast<std::size_t>(std::count_if(
        sent_.begin(), sent_.end(), [&](steady_time it) { return now - it < window; }));
}

bool cold_limit::allows(steady_time now) const
{
    return recent_requests(now) < max_requests_;
}

bool cold_limit::try_take(steady_time now)
{
    while (!sent_.empty() && now - sent_.front() >= window) {
        sent_.pop_front();
    }
    if (!allows(now)) {
        return false;
    }
    sent_.push_back(now);
    return true;
}

} // namespace toucan::policy
