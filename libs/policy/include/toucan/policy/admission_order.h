#pragma once

#include "toucan/base/clock.h"
#include "toucan/steering/service.h"

#include <cstdint>

namespace toucan::policy {

/// Properties of a request that determine its admission to a backend server.
struct admission_request {
    /// Set by the user of the library; unique among requests in progress.
    std::uint64_t id = 0;
    steering::request_class priority = steering::request_class::urgent;
    steady_time arrived;
    steady_time deadline;
    /// Credit attached to the request; 0 for a request from the home's own failure domain.
    std::uint64_t credit_id = 0;

    friend bool operator==(const admission_request&, const admission_request&) = default;
};

/// Class by which a waiting request is ordered. A deferrable request counts as urgent once half of
/// its time budget (`promotion_share`) has passed, so a steady stream of urgent requests does not
/// starve it.
[[nodiscard]] steering::request_class effective_class(const admission_request& it, steady_time now);

/// Strict order in which waiting requests are admitted: effective class, then deadline, then id.
[[nodiscard]] bool admitted_before(const admission_request& lhs, const admission_request& rhs,
                                   steady_time now);

} // namespace toucan::policy
