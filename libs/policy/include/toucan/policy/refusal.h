#pragma once

#include "toucan/base/clock.h"

#include <cstdint>
#include <string_view>

namespace toucan::policy {

/// Why a request is not served. Each one is decided before anything was dispatched.
enum class refusal_reason : std::uint8_t {
    no_backend,
    deadline,
    queue_full,
    displaced,
    no_credit,
    shift_cap,
    link_budget,
};

/// Text for the `Toucan-Reason` header.
[[nodiscard]] std::string_view to_string(refusal_reason reason);

/// A refusal and when to try again.
struct refuse {
    refusal_reason reason = refusal_reason::no_backend;
    milliseconds retry_after{0};

    friend bool operator==(const refuse&, const refuse&) = default;
};

} // namespace toucan::policy
