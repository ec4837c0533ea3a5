#pragma once

#include "toucan/base/clock.h"

#include <absl/synchronization/mutex.h>

namespace toucan {

/// Clock that advances only through `advance`, for tests and benchmarks. Thread-safe.
class manual_clock final : public clock {
public:
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] wall_time wall_now() const override;

    /// Advances steady time and wall time.
    /// @param step duration to add to both.
    void advance(std::chrono::nanoseconds step);

private:
    mutable absl::Mutex mutex_;
    std::chrono::nanoseconds elapsed_{std::chrono::hours(1)};
};

} // namespace toucan
