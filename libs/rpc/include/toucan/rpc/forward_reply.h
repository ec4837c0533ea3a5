#pragma once

#include "toucan/base/outcome.h"
#include "toucan/base/response_fault.h"

#include <optional>

namespace toucan::rpc {

/// Outcome of a forwarded request.
struct forward_reply {
    outcome result = unknown{};
    /// Set if the reply held a response that is not used; the result is `unknown` then.
    std::optional<response_fault> fault = {};

    friend bool operator==(const forward_reply&, const forward_reply&) = default;
};

} // namespace toucan::rpc
