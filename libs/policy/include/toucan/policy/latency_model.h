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
    /// Lower estimate of the response time: mean minus one mean deviation.
    [[nodiscard]] duration low() const { return mean_ - deviation_; }
    /// Time that a request must have left to meet an objective: the mean, or the lower estimate if
    /// the mean is not below the objective. With the mean alone, every request of such a route
    /// would count as late on arrival, although its faster requests meet the objective.
    [[nodiscard]] duration needed_within(duration objective) const
    {
        return mean_ < objective ? mean_ : low();
    }
    /// Upper estimate of the response time: mean plus four mean deviations.
    [[nodiscard]] duration high() const { return mean_ + 4 * deviation_; }
    /// Response time divided by the mean; 1 if the mean is not positive.
    [[nodiscard]] double ratio(duration it) const;

private:
    duration mean_;
    duration deviation_;
};

} // namespace toucan::policy
