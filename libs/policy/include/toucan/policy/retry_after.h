#pragma once

#include "toucan/base/clock.h"
#include "toucan/policy/refusal.h"
#include "toucan/steering/service.h"

#include <cstdint>

namespace toucan::policy {

/// State at the time of a refusal, from which the retry delay is computed.
struct retry_hint {
    refusal_reason reason = refusal_reason::no_backend;
    steering::request_class priority = steering::request_class::urgent;
    /// Expected time until a slot becomes free.
    std::chrono::nanoseconds expected_wait{0};
    /// Time until the shift allowance is renewed.
    std::chrono::nanoseconds shift_renewal{0};
    /// Number that differs between requests; used as jitter.
    std::uint64_t spread = 0;
};

/// Delay after which a refused request may be retried, between `min_retry_after` and
/// `max_retry_after`. Deferrable requests wait twice as long. Jitter of up to a half is added, so
/// that retries do not arrive together.
[[nodiscard]] milliseconds retry_after(const retry_hint& hint);

} // namespace toucan::policy
