#pragma once

#include <chrono>

namespace toucan::policy {

/// Moving averages of response time and of its absolute deviation for one kind of request. Not
/// thread-safe.
class latency_model {
public:
    using duration = std::chrono::nanoseconds;

    /// @param initial mean assumed until there are responses; the deviation starts at half of it.
    explicit latency_model(duration initial) : mean_(initial), deviation_(initial / 2) {}

    /// Adds a measured response time.
    void add(duration it);
    /// Moving average of the response times.
    [[nodiscard]] duration mean() const { return mean_; }
    /// Upper estimate of the response time: mean plus four mean deviations.
    [[nodiscard]] duration high() const { return mean_ + 4 * deviation_; }
    /// Response time divided by the mean; 1 if the mean is not positive.
    [[nodiscard]] double ratio(duration it) const;

private:
    duration mean_;
    duration deviation_;
};

} // namespace toucan::policy
