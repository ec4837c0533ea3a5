#pragma once

#include "toucan/base/clock.h"
#include "toucan/policy/shift_share.h"

#include <cstdint>

namespace toucan::policy {

/// Budget of one spender for shifts: requests served in a region other than the region of their
/// client block, for one service and target region. In each interval the spender may spend what it
/// spent in the previous interval plus its share of the cap. The cap is divided once among the
/// daemons that send such requests and once among the homes that admit them. Intervals are numbered
/// from the epoch of the time passed in. Not thread-safe.
class shift_ramp {
public:
    /// Nothing may be spent in the interval in which the budget starts, because a previous process
    /// with the same share may have spent it already.
    /// @param share this spender's share of the cap.
    /// @param interval length of an interval; above zero.
    /// @param now time whose epoch all spenders share: steady time plus a constant offset that
    /// makes it equal to wall time at process start.
    shift_ramp(shift_share share, std::chrono::nanoseconds interval, steady_time now);

    /// Spends one request.
    /// @return false if the allowance of the current interval is used up.
    bool try_spend(steady_time now);
    /// Refunds a request that was spent in the current interval and was not sent.
    void refund(steady_time now);
    /// Applies a changed division from the next interval on.
    void configure(shift_share share);

    /// Requests still allowed in the current interval.
    [[nodiscard]] std::uint64_t remaining(steady_time now) const;
    /// Time until the next interval starts.
    [[nodiscard]] std::chrono::nanoseconds until_renewal(steady_time now) const;

private:
    [[nodiscard]] std::uint64_t interval_number(steady_time now) const;
    void advance(steady_time now);

    shift_share share_;
    std::chrono::nanoseconds interval_;
    std::uint64_t current_interval_;
    std::uint64_t allowance_ = 0;
    std::uint64_t spent_ = 0;
};

} // namespace toucan::policy
