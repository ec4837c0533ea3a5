#pragma once

#include "toucan/base/config.h"
#include "toucan/base/response_fault.h"
#include "toucan/base/vm_address.h"

#include <chrono>
#include <functional>

namespace toucan::rpc {

/// Timeouts of the connections of an `rpc_client`, and what it reports.
struct rpc_client_options {
    std::chrono::milliseconds connect_timeout = config::rpc_connect_timeout;
    /// A connection without calls for this long is closed.
    std::chrono::milliseconds idle_limit{60'000};
    /// Called for a reply with a response that is not used, on the thread of the call; may be
    /// empty.
    std::function<void(vm_address peer, response_fault fault)> broken_reply = {};
};

} // namespace toucan::rpc
