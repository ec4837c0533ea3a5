#pragma once

#include "toucan/base/clock.h"
#include "toucan/steering/service.h"

#include <cstdint>

namespace toucan::policy {

/// A request as the admission of a backend server sees it.
struct admission_request {
    /// Chosen by the caller of the library; unique among requests in progress.
    std::uint64_t id = 0;
    steering::request_class priority = steering::request_class::urgent;
    steady_time arrived;
    steady_time deadline;
    /// Credit that the request came with; 0 for a request of the own failure domain.
    std::uint64_t credit_id = 0;

    friend bool operator==(const admission_request&, const admission_request&) = default;
};

/// The class that a waiting request counts as: deferrable requests are promoted after half of
/// their time budget, so that a steady stream of urgent requests does not starve them.
[[nodiscard]] steering::request_class effective_class(const admission_request& it, steady_time now);

/// Strict order in which waiting requests are admitted: class, then deadline, then id.
[[nodiscard]] bool admitted_before(const admission_request& lhs, const admission_request& rhs,
                                   steady_time now);

} // namespace toucan::policy
