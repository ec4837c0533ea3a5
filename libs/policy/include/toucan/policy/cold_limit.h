#pragma once

#include "toucan/base/clock.h"

#include <cstddef>
#include <deque>

namespace toucan::policy {

/// Request rate permitted to a cold backend server, that is, one that started or restarted and
/// whose caches are not warm yet. At most `requests_per_s * factor + slack` requests are permitted
/// in any second.
struct cold_rate {
    double requests_per_s = 0;
    /// Multiplier and additive allowance, in requests, above the nominal rate.
    double factor = 1;
    double slack = 0;

    friend bool operator==(const cold_rate&, const cold_rate&) = default;
};

/// One daemon's share of the requests permitted to a cold backend server. The rate is divided among
/// all known daemons, including those that do not answer: a daemon behind a network partition keeps
/// sending, so handing its share to others would exceed the rate in total. With more daemons than
/// permitted requests per second, only the first daemons of an order on which all agree have a
/// share. If every daemon sent at a low rate instead, all could still send in the same second. Not
/// thread-safe.
class cold_limit {
public:
    /// Sets the rate and this daemon's share of it.
    /// @param daemons number of daemons among which the rate is divided, at least 1.
    /// @param rank position of this daemon in the server's order of daemons, from 0.
    void configure(const cold_rate& rate, std::size_t daemons, std::size_t rank);
    /// Takes one request from this daemon's share.
    /// @return false if the share for the last second is used up.
    bool try_take(steady_time now);
    /// Whether `try_take` would succeed.
    [[nodiscard]] bool allows(steady_time now) const;

private:
    /// Requests taken within the last second.
    [[nodiscard]] std::size_t recent_requests(steady_time now) const;

    /// Maximum number of requests in any second.
    std::size_t max_requests_ = 0;
    /// Times of the requests taken from the share, oldest first.
    std::deque<steady_time> sent_;
};

} // namespace toucan::policy
