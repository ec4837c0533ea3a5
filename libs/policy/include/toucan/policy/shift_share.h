#pragma once

#include "toucan/steering/service.h"

#include <cstdint>

namespace toucan::policy {

/// One spender's part of a shift cap. The spenders are numbered from 0 without gaps.
struct shift_share {
    /// Requests by which all spenders together may grow in one interval.
    std::uint64_t cap = 0;
    std::uint32_t spender = 0;
    std::uint32_t spenders = 1;

    friend bool operator==(const shift_share&, const shift_share&) = default;

    /// Whole requests for one interval. For each interval number the parts of all spenders add up
    /// to exactly `cap`; the remainder goes to other spenders in each interval, so that a part
    /// smaller than one request is not always zero.
    [[nodiscard]] std::uint64_t part(std::uint64_t interval_number) const;
};

/// The cap of a service in whole requests per interval, rounded down.
[[nodiscard]] std::uint64_t cap_requests(const steering::service& it);

} // namespace toucan::policy
