#pragma once

#include "toucan/base/name.h"

#include <chrono>
#include <cstdint>

namespace toucan::rpc {

/// Credit that was granted; zero slots if there is none to spare.
struct credit_reply {
    std::uint64_t credit_id = 0;
    std::uint32_t slots = 0;
    /// Counted from the receipt by the holder, and from the grant by the owner, each on its own
    /// clock.
    std::chrono::milliseconds lifetime{0};
    /// Backend server that the credit is for.
    backend_server_name target;

    friend bool operator==(const credit_reply&, const credit_reply&) = default;
};

} // namespace toucan::rpc
