#pragma once

#include "toucan/base/clock.h"

#include <array>
#include <cstdint>

namespace toucan::policy {

/// Limits how fast the share of requests served outside their region grows. Caches in the other
/// region warm up with the requests that reach it, and a sudden increase would meet cold caches.
/// Bounding the change between adjacent windows also keeps regions from passing load back and
/// forth. The share is computed over the daemon's own requests, so the same bound holds for the sum
/// over a region. Not thread-safe.
class shift_limit {
public:
    /// @param max_change largest growth of the share from one window to the next, 0 to 1.
    /// @param window length of a window.
    explicit shift_limit(double max_change, milliseconds window = milliseconds(2000))
        : max_change_(max_change), window_(window)
    {
    }

    /// Whether one more request may leave the region now.
    [[nodiscard]] bool allows(steady_time now) const;
    /// Counts a request that was sent to a backend server.
    /// @param left_region the request is served in another region.
    void count(bool left_region, steady_time now);

private:
    struct bin {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t left_region = 0;
    };

    static constexpr std::int64_t bins_per_window = 4;
    static constexpr std::int64_t bin_count = 3 * bins_per_window;

    [[nodiscard]] std::int64_t bin_number(steady_time now) const;
    [[nodiscard]] bin sum_bins(std::int64_t first, std::int64_t last) const;

    double max_change_;
    milliseconds window_;
    std::array<bin, bin_count> bins_{};
};

} // namespace toucan::policy
