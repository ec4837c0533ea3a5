#pragma once

#include "toucan/base/metrics.h"
#include "toucan/base/name.h"

#include <cstdint>
#include <map>
#include <string>

namespace toucan::edge {

/// Counts the requests that are sent to each region: those that run where the region plan wants
/// them, and those that run elsewhere because the planned region has no room.
class region_traffic {
public:
    /// @param all must outlive this object.
    explicit region_traffic(metrics& all) : metrics_(all) {}

    /// Counts a request that is sent to a backend server.
    /// @param planned the region plan names this region for the request.
    void count(const region_name& region, bool planned);
    /// Counts a request that is sent to a backend server and may not run in all regions.
    void count_restricted(const region_name& region) { ++of(region).restricted_total; }
    /// Requests since the last call of this function, as log fields; empty if there are none.
    [[nodiscard]] std::string take_recent();

private:
    struct counts {
        metrics::counter& planned_total;
        metrics::counter& overflow_total;
        metrics::counter& restricted_total;
        std::uint32_t planned = 0;
        std::uint32_t overflow = 0;
    };

    counts& of(const region_name& region);

    metrics& metrics_;
    std::map<region_name, counts> regions_;
};

} // namespace toucan::edge
