#pragma once

#include "toucan/base/clock.h"
#include "toucan/steering/deployment_topology.h"

#include <cstdint>

namespace toucan::policy {

/// Token bucket in bytes for one entry VM's share of one direction of a link. It holds at most the
/// bytes of 100 ms (`link_burst`). Not thread-safe.
class link_budget {
public:
    /// @param bytes_per_s this entry VM's share of the link capacity.
    link_budget(double bytes_per_s, steady_time now);

    /// Spends bytes if the bucket allows it. Data larger than the bucket passes when the bucket is
    /// full and leaves a negative balance that delays later data, so the average rate is kept.
    /// @return false if the bytes were not spent.
    bool try_spend(std::uint64_t bytes, steady_time now);
    /// Spends bytes unconditionally, for data that cannot be refused, such as a computed response.
    void spend(std::uint64_t bytes, steady_time now);
    /// Whether `try_spend` would succeed.
    [[nodiscard]] bool allows(std::uint64_t bytes, steady_time now) const;

private:
    /// Balance in bytes at `now`.
    [[nodiscard]] double tokens(steady_time now) const;

    double rate_;
    double burst_;
    double tokens_;
    steady_time updated_at_;
};

/// An entry VM's share of the link from its region to another region, in bytes per second. The
/// capacity is divided evenly among the configured entry VMs of the sending region.
/// @return 0 if there is no link.
[[nodiscard]] double link_share(const steering::deployment_topology& topology,
                                const region_name& from, const region_name& to);

} // namespace toucan::policy
