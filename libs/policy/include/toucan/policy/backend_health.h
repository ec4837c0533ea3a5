#pragma once

#include "toucan/base/clock.h"

#include <cstdint>

namespace toucan::policy {

/// Outcome of one request to a backend server, as evidence of the server's health.
enum class backend_signal : std::uint8_t {
    /// Complete response that is not an error.
    good,
    /// Error response, or a truncated or corrupt response.
    failed,
    /// The server reported that it did not run the request although it should have had a free slot.
    shed,
    /// No connection, or a reset; the server may be gone.
    unreachable,
    /// A different server answered at the address.
    replaced,
};

/// Eligibility of a backend server, derived from recent request outcomes.
enum class health_state : std::uint8_t {
    /// Eligible for all requests.
    usable,
    /// Receives occasional requests, so that its recovery is detected.
    doubtful,
    /// Receives no requests until `retry_at`.
    avoided,
};

/// Estimates the health of one backend server from the responses to this daemon's own requests.
/// Health checks are not used: they are not needed and can be wrong. Not thread-safe.
class backend_health {
public:
    /// Records the outcome of a request. An unreachable or replaced server is avoided for a time
    /// that doubles with each such outcome, up to a limit.
    void add(backend_signal signal, steady_time now);
    /// Records a response time.
    /// @param ratio response time divided by that of other servers for the same work.
    void add_latency(double ratio);
    /// State at `now`.
    [[nodiscard]] health_state state(steady_time now) const;
    /// Share of its usual load that the server still takes well, 0 to 1: 1 if it is usable, less
    /// the more of its requests fail or the slower it is, 0 until an avoided server has answered.
    [[nodiscard]] double fitness(steady_time now) const;
    /// Exponentially weighted share of failed requests, 0 to 1.
    [[nodiscard]] double failure_share() const { return failure_share_; }
    /// Exponentially weighted mean of the response time ratios; 1 without samples.
    [[nodiscard]] double slowness() const { return slowness_; }
    /// End of the current avoidance period; the epoch if there was none.
    [[nodiscard]] steady_time retry_at() const { return retry_at_; }

private:
    double failure_share_ = 0;
    double slowness_ = 1;
    milliseconds backoff_{0};
    steady_time retry_at_;
    steady_time last_signal_;
};

} // namespace toucan::policy
