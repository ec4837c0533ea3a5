#include "toucan/policy/slot_throughput.h"

#include <algorithm>
#include <cstdint>

namespace toucan::policy {

using std::chrono::nanoseconds;

void slot_throughput::record_release(const precedence& by, bool waited, steady_time now)
{
    releases_.push_back({now, by, waited});
    if (waited) {
        ++counts_[by];
    }
    while (now - releases_.front().at > window_) {
        const auto& oldest = releases_.front();
        if (oldest.waited && --counts_[oldest.by] == 0) {
            counts_.erase(oldest.by);
        }
        releases_.pop_front();
    }
}

nanoseconds slot_throughput::span(steady_time now) const
{
    return std::max<nanoseconds>(now - releases_.front().at, window_ / 2);
}

nanoseconds slot_throughput::expected_wait(std::size_t ahead, const precedence& of,
                                           steady_time now) const
{
    if (releases_.empty()) {
        return nanoseconds(0);
    }
    std::size_t higher = 0;
    for (const auto& [by, count] : counts_) {
        if (by >= of) {
            break;
        }
        higher += count;
    }
    // At least one slot counts as left, so that a wait can be given.
    const auto left = std::max<std::size_t>(releases_.size() - higher, 1);
    return span(now) * static_cast<std::int64_t>(ahead + 1) / static_cast<std::int64_t>(left);
}

nanoseconds slot_throughput::interval(steady_time now) const
{
    return releases_.empty() ? nanoseconds(0)
                             : span(now) / static_cast<std::int64_t>(releases_.size());
}

} // namespace toucan::policy
