#pragma once

#include "toucan/base/clock.h"

#include <absl/synchronization/mutex.h>

namespace toucan {

/// A clock that moves only when told to, for tests and benchmarks. Thread-safe.
class manual_clock final : public clock {
public:
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] wall_time wall_now() const override;

    /// @param step time to add to both clocks.
    void advance(std::chrono::nanoseconds step);

private:
    mutable absl::Mutex mutex_;
    std::chrono::nanoseconds elapsed_{std::chrono::hours(1)};
};

} // namespace toucan
