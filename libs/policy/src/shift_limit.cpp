#include "toucan/policy/shift_limit.h"

#include <algorithm>

namespace toucan::policy {

namespace {

/// Fraction of the bound that is used, because the daemons of a region act independently.
constexpr double safety_factor = 0.6;
/// Minimum number of requests over which a share is computed. With fewer, the share is not
/// significant, and the limit is computed as if there were this many.
constexpr double min_requests = 10;

} // namespace

std::int64_t shift_limit::bin_number(steady_time now) const
{
    return now.time_since_epoch() / (window_ / bins_per_window);
}

shift_limit::bin shift_limit::sum_bins(std::int64_t first, std::int64_t last) const
{
    bin total;
    for (const auto& it : bins_) {
        if (it.number >= first && it.number <= last) {
            total.requests += it.requests;
            total.left_region += it.left_region;
        }
    }
    return total;
}

bool shift_limit::allows(steady_time now) const
{
    const auto current = bin_number(now);
    const auto recent = sum_bins(current - bins_per_window + 1, current);
    const auto before = sum_bins(current - 2 * bins_per_window + 1, current - bins_per_window);
    const double earlier_share =
        before.requests == 0 ? 0 : static_cast<double>(before.left_region) / before.requests;
    const double limit = earlier_share + safety_factor * max_change_;
    const double requests = std::max(min_requests, static_cast<double>(recent.requests) + 1);
    return (recent.left_region + 1) <= limit * requests;
}

void shift_limit::count(bool left_region, steady_time now)
{
    const auto current = bin_number(now);
    auto& it = bins_[static_cast<std::size_t>(current % bin_count)];
    if (it.number != current) {
        it = {current, 0, 0};
    }
    ++it.requests;
    it.left_region += left_region ? 1 : 0;
}

} // namespace toucan::policy
