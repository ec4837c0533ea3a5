#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/name.h"

#include <absl/types/span.h>

#include <cstdint>
#include <vector>

namespace toucan::policy {

/// Capacity and demand of one service in one region.
struct region_load {
    region_name region;
    /// Slots of the usable backend servers in the region.
    double capacity = 0;
    /// Slots that the requests of the region's own callers would occupy.
    double demand = 0;

    friend bool operator==(const region_load&, const region_load&) = default;
};

/// Share of a region's requests that is served in a given region.
struct region_share {
    region_name region;
    double share = 0;

    friend bool operator==(const region_share&, const region_share&) = default;
};

/// Divides the requests of one region over all regions. Requests stay in their region up to a bound
/// on its utilization, and the excess goes to other regions in proportion to their free capacity
/// below the bound. When average utilization is high, the bound is just above the average, so
/// utilization is equalized.
/// @param source_region region whose requests are divided.
[[nodiscard]] std::vector<region_share> target_shares(absl::Span<const region_load> loads,
                                                      const region_name& source_region);

/// Rate of a plan that keeps to a bound on the requests that change region. A plan moves whole
/// objects, some of them with many requests, so its expected change stays well below the bound.
/// @param max_shift largest share of the requests that may change region from one window of 2 s to
/// the next.
/// @return largest share of the requests that may change region per second.
[[nodiscard]] double plan_change_per_s(double max_shift);

/// Moves the division of a region's requests towards its target at a limited rate, so that caches
/// in other regions warm up and regions do not pass load back and forth. After a large loss of
/// capacity the target is applied at once, because the requests that ran there have to move in any
/// case. Not thread-safe.
class region_plan {
public:
    /// @param source_region region whose requests are divided.
    /// @param max_change_per_s largest share of the requests that may change region per second.
    region_plan(region_name source_region, double max_change_per_s)
        : source_region_(std::move(source_region)), max_change_per_s_(max_change_per_s)
    {
    }

    /// Recomputes the target and moves the shares towards it. Time since the last update beyond 1 s
    /// counts as 1 s.
    void update(absl::Span<const region_load> loads, steady_time now);
    /// Current division; empty before the first `update`.
    [[nodiscard]] const std::vector<region_share>& shares() const { return shares_; }
    /// Regions in which requests for an object are served, in order of preference. The order is
    /// stable while the division is, and few objects change region when the division changes.
    /// @param object stable hash of the object.
    /// @param allowed regions in which the request may be served; empty for all.
    [[nodiscard]] std::vector<region_name> order(std::uint64_t object,
                                                 absl::Span<const region_name> allowed) const;

private:
    region_name source_region_;
    double max_change_per_s_;
    std::vector<region_share> shares_;
    double capacity_ = 0;
    steady_time updated_;
};

} // namespace toucan::policy
