#pragma once

#include <absl/synchronization/mutex.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace toucan {

/// Histogram of durations in milliseconds, based on Boost.Histogram. Thread-safe.
class histogram_metric {
public:
    /// One cumulative bucket.
    struct bucket {
        /// Upper bound. Durations above the highest bound are included only in `values::count`.
        double at_most_ms = 0;
        /// Cumulative: number of durations up to the bound.
        std::uint64_t count = 0;

        friend bool operator==(const bucket&, const bucket&) = default;
    };
    /// Snapshot of a histogram.
    struct values {
        std::vector<bucket> buckets;
        std::uint64_t count = 0;
        double sum_ms = 0;
    };

    histogram_metric();
    histogram_metric(const histogram_metric&) = delete;
    histogram_metric& operator=(const histogram_metric&) = delete;
    ~histogram_metric();

    /// Adds one observation.
    void add(std::chrono::nanoseconds duration);
    [[nodiscard]] values read() const;

private:
    struct state;
    mutable absl::Mutex mutex_;
    std::unique_ptr<state> state_;
};

} // namespace toucan
