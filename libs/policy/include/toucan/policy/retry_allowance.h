#pragma once

#include "toucan/base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace toucan::policy {

/// Bound on resends of requests to one service.
struct retry_allowance_settings {
    /// Permitted resends per request.
    double ratio = 0.2;
    /// Resends per window permitted in addition, summed over all daemons.
    double extra = 0;
    milliseconds window{10000};

    friend bool operator==(const retry_allowance_settings&,
                           const retry_allowance_settings&) = default;
};

/// One daemon's share of the resends permitted to a service. A resend is allowed while the resends
/// in the sliding window stay below `ratio` times this daemon's requests in the window plus this
/// daemon's share of `extra`. The sum over all daemons therefore stays below the bound without
/// coordination. Not thread-safe.
class retry_allowance {
public:
    explicit retry_allowance(retry_allowance_settings settings) : settings_(settings) {}

    /// @param daemons number of daemons that share `extra`, at least 1.
    void set_daemons(std::size_t daemons) { daemons_ = daemons; }
    /// Counts a first attempt.
    void count_request(steady_time now);
    /// Takes one resend from the allowance.
    /// @return false if the allowance is used up.
    bool try_take(steady_time now);
    /// Returns a resend that was not sent.
    /// @param taken_at time at which it was taken.
    void put_back(steady_time taken_at);
    /// Resends still allowed in the current window; may be negative.
    [[nodiscard]] double remaining(steady_time now) const;

private:
    struct bin {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t resends = 0;
    };

    static constexpr std::size_t bin_count = 11;

    [[nodiscard]] std::int64_t bin_number(steady_time now) const;
    bin& current_bin(steady_time now);

    retry_allowance_settings settings_;
    std::size_t daemons_ = 1;
    std::array<bin, bin_count> bins_{};
};

} // namespace toucan::policy
