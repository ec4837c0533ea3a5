#pragma once

#include "toucan/base/clock.h"

#include <cstddef>

namespace toucan::policy {

/// Paces the calls of one daemon to a shared store that fails. While the store works, calls are not
/// limited. After a failure only single calls are made, with growing pauses, until one succeeds.
/// Daemons that need the store less, because another daemon follows it for them, pause longer, so
/// that the calls of a failure domain do not grow with the number of its daemons. Not thread-safe.
class store_pacing {
public:
    /// Longest pause of a daemon that follows the store for itself and for others.
    static constexpr milliseconds direct_longest_pause{500};

    /// Longest pause of one of several daemons that follow the store through another one.
    /// @param daemons daemons of the failure domain.
    [[nodiscard]] static milliseconds follower_longest_pause(std::size_t daemons);

    void set_longest_pause(milliseconds it) { longest_pause_ = it; }
    /// Whether the last call failed.
    [[nodiscard]] bool failing() const { return failing_; }
    /// Whether a call may be made now. While the store fails, this allows one call for each pause.
    [[nodiscard]] bool try_call(steady_time now);
    void record_success();
    /// @param was_probe whether the call was made while the store failed; only such calls lengthen
    /// the pause, because all pending calls fail together when the store does.
    /// @param draw random number from 0 to 1, which keeps daemons from calling together.
    void record_failure(bool was_probe, double draw, steady_time now);

private:
    milliseconds longest_pause_{direct_longest_pause};
    milliseconds pause_{0};
    steady_time next_call_;
    bool failing_ = false;
};

} // namespace toucan::policy
