#pragma once

#include "toucan/base/outcome.h"

namespace toucan::rpc {

/// Outcome of a forwarded request.
struct forward_reply {
    outcome result = unknown{};

    friend bool operator==(const forward_reply&, const forward_reply&) = default;
};

} // namespace toucan::rpc
