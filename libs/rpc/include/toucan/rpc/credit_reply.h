#pragma once

#include "toucan/base/name.h"

#include <chrono>
#include <cstdint>

namespace toucan::rpc {

/// Credit granted by a home daemon; 0 slots if it has no spare slots.
struct credit_reply {
    std::uint64_t credit_id = 0;
    std::uint32_t slots = 0;
    /// The holder counts it from the receipt, the owner from the grant, each on its own clock.
    std::chrono::milliseconds lifetime{0};
    /// Backend server that the credit is for.
    backend_server_name target;

    friend bool operator==(const credit_reply&, const credit_reply&) = default;
};

} // namespace toucan::rpc
