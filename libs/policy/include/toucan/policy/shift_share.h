#pragma once

#include "toucan/steering/service.h"

#include <cstdint>

namespace toucan::policy {

/// One spender's share of a shift cap, the limit on how many more requests per interval may be
/// served outside the region of their client block. A spender is a party that applies the cap on
/// its own: a daemon that sends such requests or a home that admits them. Spenders are numbered
/// from 0 without gaps.
struct shift_share {
    /// Requests by which all spenders together may grow per interval.
    std::uint64_t cap = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 1;

    friend bool operator==(const shift_share&, const shift_share&) = default;

    /// This spender's share in whole requests. For each interval number, the shares of all spenders
    /// add up to exactly `cap`. The remainder of the division rotates among the spenders from
    /// interval to interval, so that a share smaller than one request is not always zero.
    [[nodiscard]] std::uint64_t allowance(std::uint64_t interval_number) const;
};

/// Shift cap of a service in whole requests per interval, rounded down.
[[nodiscard]] std::uint64_t cap_requests(const steering::service& it);

} // namespace toucan::policy
