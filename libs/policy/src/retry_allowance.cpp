#include "toucan/policy/retry_allowance.h"

#include <algorithm>

namespace toucan::policy {

namespace {

/// Fraction of the bound that is used. Requests and resends counted outside this daemon are counted
/// with some delay, so they can fall into other windows.
constexpr double safety_factor = 0.8;

} // namespace

std::int64_t retry_allowance::bin_number(steady_time now) const
{
    const auto bin_length = settings_.window / static_cast<std::int64_t>(bin_count - 1);
    return now.time_since_epoch() / bin_length;
}

retry_allowance::bin& retry_allowance::current_bin(steady_time now)
{
    const auto current = bin_number(now);
    auto& it = bins_[static_cast<std::size_t>(current) % bin_count];
    if (it.number != current) {
        it = {current, 0, 0};
    }
    return it;
}

void retry_allowance::count_request(steady_time now)
{
    ++current_bin(now).requests;
}

double retry_allowance::remaining(steady_time now) const
{
    const auto oldest = bin_number(now) - static_cast<std::int64_t>(bin_count) + 1;
    double requests = 0;
    double resends = 0;
    for (const auto& it : bins_) {
        if (it.number >= oldest) {
            // The oldest bin lies partly outside the window, so only its resends are counted.
            requests += it.number > oldest ? it.requests : 0;
            resends += it.resends;
        }
    }
    const auto sharers = static_cast<double>(std::max<std::size_t>(daemons_, 1));
    return safety_factor * (settings_.ratio * requests + settings_.extra / sharers) - resends;
}

bool retry_allowance::try_take(steady_time now)
{
    if (remaining(now) < 1) {
        return false;
    }
    ++current_bin(now).resends;
    return true;
}

void retry_allowance::put_back(steady_time taken_at)
{
    const auto number = bin_number(taken_at);
    auto& it = bins_[static_cast<std::size_t>(number) % bin_count];
    if (it.number == number && it.resends > 0) {
        --it.resends;
    }
}

} // namespace toucan::policy
