#pragma once

#include "toucan/base/config.h"

#include <chrono>

namespace toucan::rpc {

/// Timeouts of the connections of an `rpc_client`.
struct rpc_client_options {
    std::chrono::milliseconds connect_timeout = config::rpc_connect_timeout;
    /// A connection without calls for this long is closed.
    std::chrono::milliseconds idle_limit{60'000};
};

} // namespace toucan::rpc
