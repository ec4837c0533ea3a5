#pragma once

#include "toucan/base/clock.h"
#include "toucan/steering/places.h"

#include <cstdint>

namespace toucan::policy {

/// Token bucket in bytes for one entry VM's part of one direction of a link. Not thread-safe.
class link_budget {
public:
    /// @param bytes_per_s part of the capacity.
    link_budget(double bytes_per_s, steady_time now);

    /// Spends bytes. Data larger than the bucket passes when the bucket is full and leaves a debt
    /// that later data waits for, so the rate holds on average.
    bool try_spend(std::uint64_t bytes, steady_time now);
    /// Spends bytes that cannot be refused, such as a response that was computed already.
    void spend(std::uint64_t bytes, steady_time now);
    /// Whether `try_spend` would succeed.
    [[nodiscard]] bool allows(std::uint64_t bytes, steady_time now) const;

private:
    [[nodiscard]] double tokens(steady_time now) const;

    double rate_;
    double burst_;
    double tokens_;
    steady_time at_;
};

/// An entry VM's part of the link from its region to another one, in bytes per second. The
/// capacity is divided by the configured entry VMs of the sending region.
/// @return 0 if there is no link.
[[nodiscard]] double link_part(const steering::places& places, const region_name& from,
                               const region_name& to);

} // namespace toucan::policy
