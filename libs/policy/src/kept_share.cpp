#include "toucan/policy/kept_share.h"

#include <algorithm>

namespace toucan::policy {

namespace {

using seconds = std::chrono::duration<double>;

/// Time constant of the smoothed utilization.
constexpr seconds smoothing_time{40};
/// Time constant with which it begins; it then grows with the time of the reports.
constexpr seconds min_smoothing_time{4};
/// Excess over the mean from which on a server gives objects away.
constexpr double margin = 0.05;
/// Utilization below which it keeps all. A server with 6 slots that is used to this extent is full
/// for 2 % of the requests.
constexpr double busy_utilization = 0.4;
/// Decrease of the share for each unit of relative excess.
constexpr double gain = 4;
/// Greatest changes of the share. It returns more slowly than it falls.
constexpr double fall_per_s = 0.1;
constexpr double return_per_s = 0.03;
/// Difference up to which the share does not follow an increase.
constexpr double hysteresis = 0.05;

} // namespace

seconds kept_share::advance(steady_time now)
{
    const seconds span = updated_at_ ? now - *updated_at_ : seconds(0);
    updated_at_ = now;
    return span;
}

void kept_share::move_towards(double target, seconds span)
{
    if (target < share_) {
        share_ = std::max(target, share_ - fall_per_s * span.count());
    }
    else if (target >= 1 || target > share_ + hysteresis) {
        share_ =
            std::min(target >= 1 ? 1 : target - hysteresis, share_ + return_per_s * span.count());
    }
}

void kept_share::record(const utilization_report& it, steady_time now)
{
    const auto span = advance(now);
    if (history_ == seconds(0)) {
        smoothed_ = {it.mean, it.mean};
    }
    history_ += span;
    const auto time = std::clamp(history_, min_smoothing_time, smoothing_time);
    const double weight = std::min(1.0, span / time);
    smoothed_.server += weight * (it.server - smoothed_.server);
    smoothed_.mean += weight * (it.mean - smoothed_.mean);
    const double threshold = std::max((1 + margin) * smoothed_.mean, busy_utilization);
    const double excess = smoothed_.server / threshold - 1;
    move_towards(std::clamp(1 - gain * excess, floor, 1.0), span);
}

void kept_share::record_absence(steady_time now)
{
    history_ = seconds(0);
    move_towards(1, advance(now));
}

} // namespace toucan::policy
