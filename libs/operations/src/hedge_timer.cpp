#include "toucan/operations/hedge_timer.h"

#include <algorithm>

namespace toucan::operations {

namespace {

constexpr double percentile = 0.95;
/// Share of the estimate that one observation moves it by.
constexpr double step_share = 0.05;

} // namespace

hedge_timer::hedge_timer(duration first, duration least)
    : estimate_us_(static_cast<double>(std::max(first, least).count())), least_(least)
{
}

void hedge_timer::observe(duration took)
{
    // The steps up and down balance when a share of `percentile` lies below the estimate.
    const double step = step_share * estimate_us_;
    const auto value = static_cast<double>(took.count());
    estimate_us_ += value > estimate_us_ ? step * percentile : -step * (1 - percentile);
    estimate_us_ = std::max(estimate_us_, static_cast<double>(least_.count()));
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
