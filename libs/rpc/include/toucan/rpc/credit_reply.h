#pragma once

#include "toucan/base/name.h"

#include <chrono>
#include <cstdint>

namespace toucan::rpc {

/// Credit granted by a home: slots of one backend server that the requester, in another failure
/// domain, may use until the lifetime ends. 0 slots if the home has none to spare.
struct credit_reply {
    std::uint64_t credit_id = 0;
    std::uint32_t slots = 0;
    /// The requester counts the lifetime from the receipt of the reply, the home from the grant,
    /// each on its own clock.
    std::chrono::milliseconds lifetime{0};
    /// Backend server that the credit is for.
    backend_server_name target;

    friend bool operator==(const credit_reply&, const credit_reply&) = default;
};

} // namespace toucan::rpc
