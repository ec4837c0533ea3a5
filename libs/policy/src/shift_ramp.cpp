#include "toucan/policy/shift_ramp.h"

#include <algorithm>

namespace toucan::policy {

shift_ramp::shift_ramp(shift_share share, std::chrono::nanoseconds interval, steady_time now)
    : share_(share), interval_(std::max(interval, std::chrono::nanoseconds(1))),
      current_(number(now))
{
}

bool shift_ramp::try_spend(steady_time now)
{
    advance(now);
    if (used_ >= allowance_) {
        return false;
    }
    ++used_;
    return true;
}

void shift_ramp::give_back(steady_time now)
{
    const auto before = current_;
    advance(now);
    if (before == current_ && used_ > 0) {
        --used_;
    }
}

void shift_ramp::configure(shift_share share)
{
    share_ = share;
}

std::uint64_t shift_ramp::left(steady_time now) const
{
    auto copy = *this;
    copy.advance(now);
    return copy.allowance_ - copy.used_;
}

std::chrono::nanoseconds shift_ramp::until_renewal(steady_time now) const
{
    const auto since = std::chrono::nanoseconds(now.time_since_epoch()) % interval_;
    return interval_ - since;
}

std::uint64_t shift_ramp::number(steady_time now) const
{
    return static_cast<std::uint64_t>(std::chrono::nanoseconds(now.time_since_epoch()) / interval_);
}

void shift_ramp::advance(steady_time now)
{
    const auto next = number(now);
    if (next <= current_) {
        return;
    }
    // Nothing was used in skipped intervals, so growth starts from zero again.
    const auto base = next == current_ + 1 ? std::min(used_, allowance_) : 0;
    allowance_ = base + share_.part(next);
    used_ = 0;
    current_ = next;
}

} // namespace toucan::policy
