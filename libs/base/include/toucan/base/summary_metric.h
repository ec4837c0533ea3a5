#pragma once

#include <absl/synchronization/mutex.h>

#include <chrono>
#include <cstdint>
#include <memory>

namespace toucan {

/// Count, sum, maximum, median and 99th percentile of all durations that were added, in
/// milliseconds. Boost.Accumulators estimates the quantiles. Thread-safe.
class summary_metric {
public:
    /// Snapshot of a summary; all zero if no duration was added.
    struct values {
        std::uint64_t count = 0;
        double sum_ms = 0;
        double max_ms = 0;
        double p50_ms = 0;
        double p99_ms = 0;
    };

    summary_metric();
    summary_metric(const summary_metric&) = delete;
    summary_metric& operator=(const summary_metric&) = delete;
    ~summary_metric();

    /// Adds one observation.
    void add(std::chrono::nanoseconds duration);
    [[nodiscard]] values read() const;

private:
    struct state;
    mutable absl::Mutex mutex_;
    std::unique_ptr<state> state_;
};

} // namespace toucan
