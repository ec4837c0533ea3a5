#include "toucan/policy/window_counter.h"

namespace toucan::policy {

std::uint32_t& window_counter::at(steady_time now)
{
    const auto period = period_of(now);
    auto& it = buckets_[index_of(period)];
    if (it.period != period) {
        it = {period, 0};
    }
    return it.events;
}

void window_counter::remove(steady_time when, steady_time now)
{
    const auto period = period_of(when);
    auto& it = buckets_[index_of(period)];
    if (it.period == period && period_of(now) - period < static_cast<std::int64_t>(buckets) &&
        it.events > 0) {
        --it.events;
    }
}

std::uint64_t window_counter::count(steady_time now) const
{
    const auto newest = period_of(now);
    std::uint64_t n = 0;
    for (const auto& it : buckets_) {
        if (newest - it.period < static_cast<std::int64_t>(buckets)) {
            n += it.events;
        }
    }
    return n;
}

std::chrono::nanoseconds window_counter::time_until_left(std::uint64_t events,
                                                         steady_time now) const
{
    const auto newest = period_of(now);
    const auto size = static_cast<std::int64_t>(buckets);
    std::uint64_t left = 0;
    for (auto period = newest - size + 1; period <= newest; ++period) {
        const auto& it = buckets_[index_of(period)];
        left += it.period == period ? it.events : 0;
        if (left >= events) {
            return (period + size) * bucket_time_ - now.time_since_epoch();
        }
    }
    return size * bucket_time_;
}

} // namespace toucan::policy
