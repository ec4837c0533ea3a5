#pragma once

#include "toucan/base/http_request.h"
#include "toucan/base/name.h"
#include "toucan/rpc/forward_mode.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace toucan::rpc {

/// Request of a caller that one daemon forwards to another.
struct forward_request {
    forward_mode mode = forward_mode::serve;
    service_name service;
    http_request request;
    /// Time until the deadline. Sent as a duration, because clocks of different VMs may differ.
    std::chrono::milliseconds time_left{0};
    /// Client block (address prefix of the caller) as `a.b.c.d/n`; may be empty.
    std::string client_block;
    /// Region to which the client block is steered; empty if unknown.
    region_name client_region;
    /// Region of the entry VM that received the request of the caller.
    region_name entry_region;
    std::string operation_key;
    /// Number of times that the request was forwarded between daemons.
    std::uint32_t hops = 0;
    /// Credit for another failure domain; 0 if the target is in the failure domain of the sender.
    std::uint64_t credit_id = 0;
    backend_server_name target;

    friend bool operator==(const forward_request&, const forward_request&) = default;
};

} // namespace toucan::rpc
