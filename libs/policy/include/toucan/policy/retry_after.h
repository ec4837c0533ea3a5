#pragma once

#include "toucan/base/clock.h"
#include "toucan/policy/refusal.h"
#include "toucan/steering/service.h"

#include <cstdint>

namespace toucan::policy {

/// What is known when a request is refused.
struct retry_hint {
    refusal_reason reason = refusal_reason::no_backend;
    steering::request_class priority = steering::request_class::urgent;
    /// Expected time until a slot is free.
    std::chrono::nanoseconds expected_wait{0};
    /// Time until the shift allowance is renewed.
    std::chrono::nanoseconds shift_renewal{0};
    /// Any number that differs between requests; spreads the retries.
    std::uint64_t spread = 0;
};

/// When a refused request may be tried again. Deferrable requests are told to wait twice as long,
/// and the answers are spread over a further half, so that retries do not arrive together.
[[nodiscard]] milliseconds retry_after(const retry_hint& hint);

} // namespace toucan::policy
