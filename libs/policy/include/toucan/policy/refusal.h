#pragma once

#include "toucan/base/clock.h"

#include <cstdint>
#include <string_view>

namespace toucan::policy {

/// Reason for not serving a request. Every refusal is decided before the request is dispatched. If
/// several reasons apply to a routing decision, the last of them in this order is reported.
enum class refusal_reason : std::uint8_t {
    no_backend,
    deadline,
    queue_full,
    displaced,
    no_credit,
    shift_cap,
    link_budget,
};

/// Text sent in the `Toucan-Reason` header.
[[nodiscard]] std::string_view to_string(refusal_reason reason);

/// Refusal of a request, with the time after which to retry.
struct refuse {
    refusal_reason reason = refusal_reason::no_backend;
    milliseconds retry_after{0};

    friend bool operator==(const refuse&, const refuse&) = default;
};

} // namespace toucan::policy
