#include "toucan/policy/shift_ramp.h"

#include <algorithm>

namespace toucan::policy {

shift_ramp::shift_ramp(shift_share share, std::chrono::nanoseconds interval, steady_time now)
    : share_(share), interval_(std::max(interval, std::chrono::nanoseconds(1))),
      current_interval_(interval_number(now))
{
}

bool shift_ramp::try_spend(steady_time now)
{
    advance(now);
    if (spent_ >= allowance_) {
        return false;
    }
    ++spent_;
    return true;
}

void shift_ramp::refund(steady_time now)
{
    const auto before = current_interval_;
    advance(now);
    if (before == current_interval_ && spent_ > 0) {
        --spent_;
    }
}

void shift_ramp::configure(shift_share share)
{
    share_ = share;
}

std::uint64_t shift_ramp::remaining(steady_time now) const
{
    auto copy = *this;
    copy.advance(now);
    return copy.allowance_ - copy.spent_;
}

std::chrono::nanoseconds shift_ramp::until_renewal(steady_time now) const
{
    const auto elapsed = std::chrono::nanoseconds(now.time_since_epoch()) % interval_;
    return interval_ - elapsed;
}

std::uint64_t shift_ramp::interval_number(steady_time now) const
{
    return static_cast<std::uint64_t>(std::chrono::nanoseconds(now.time_since_epoch()) / interval_);
}

void shift_ramp::advance(steady_time now)
{
    const auto next = interval_number(now);
    if (next <= current_interval_) {
        return;
    }
    // After a skipped interval, in which nothing was spent, growth starts from zero.
    const auto base = next == current_interval_ + 1 ? std::min(spent_, allowance_) : 0;
    allowance_ = base + share_.allowance(next);
    spent_ = 0;
    current_interval_ = next;
}

} // namespace toucan::policy
