#pragma once

#include "toucan/base/clock.h"
#include "toucan/policy/shift_share.h"

#include <cstdint>

namespace toucan::policy {

/// Budget of one spender for requests that are served in a region other than their home region,
/// for one service and target region. The sender and the receiver use it alike, each with its own
/// division. Intervals are numbered from the epoch of the time passed in. Not thread-safe.
class shift_ramp {
public:
    /// Nothing may be spent in the interval in which the budget starts, because a former process
    /// with the same part may have spent it already.
    /// @param share part of the cap.
    /// @param interval length; above zero.
    /// @param now time whose epoch all spenders share: steady time plus a constant that makes it
    /// wall time when the process starts.
    shift_ramp(shift_share share, std::chrono::nanoseconds interval, steady_time now);

    /// Spends one request.
    /// @return false if the allowance of this interval is used up.
    bool try_spend(steady_time now);
    /// Returns a request that was spent in the current interval and then not sent.
    void give_back(steady_time now);
    /// Takes over a changed division from the next interval on.
    void configure(shift_share share);

    [[nodiscard]] std::uint64_t left(steady_time now) const;
    [[nodiscard]] std::chrono::nanoseconds until_renewal(steady_time now) const;

private:
    [[nodiscard]] std::uint64_t number(steady_time now) const;
    void advance(steady_time now);

    shift_share share_;
    std::chrono::nanoseconds interval_;
    std::uint64_t current_;
    std::uint64_t allowance_ = 0;
    std::uint64_t used_ = 0;
};

} // namespace toucan::policy
