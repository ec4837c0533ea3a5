#include "toucan/operations/hedge_timer.h"

#include <algorithm>

namespace toucan::operations {

namespace {

constexpr double percentile = 0.95;
/// Step of one observation as a share of the estimate, before weighting by the percentile.
constexpr double step_share = 0.05;

} // namespace

hedge_timer::hedge_timer(duration initial, duration min_delay)
    : estimate_us_(static_cast<double>(std::max(initial, min_delay).count())), min_delay_(min_delay)
{
}

void hedge_timer::observe(duration response_time)
{
    // The expected step is zero when a share of `percentile` of the values lies below the estimate.
    const double step = step_share * estimate_us_;
    const auto value = static_cast<double>(response_time.count());
    estimate_us_ += value > estimate_us_ ? step * percentile : -step * (1 - percentile);
    estimate_us_ = std::max(estimate_us_, static_cast<double>(min_delay_.count()));
}

hedge_timer::duration hedge_timer::delay() const
{
    return duration(static_cast<duration::rep>(estimate_us_));
}

std::optional<steady_time> hedge_timer::hedge_at(steady_time sent, steady_time deadline) const
{
    const auto at = sent + delay();
    if (at + delay() > deadline) {
        return std::nullopt;
    }
    return at;
}

} // namespace toucan::operations
