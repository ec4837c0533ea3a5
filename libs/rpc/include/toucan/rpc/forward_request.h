#pragma once

#include "toucan/base/http_request.h"
#include "toucan/base/name.h"
#include "toucan/rpc/forward_mode.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace toucan::rpc {

/// A request of a caller on its way between daemons.
struct forward_request {
    forward_mode mode = forward_mode::serve;
    service_name service;
    http_request request;
    /// Remaining time budget. A duration, because clocks of different VMs are not compared.
    std::chrono::milliseconds time_left{0};
    /// Client block as text, `a.b.c.d/n`; may be empty.
    std::string client_block;
    /// Region that the client block is steered to; empty if it is not known.
    region_name client_region;
    /// Region of the entry VM that the caller asked.
    region_name entry_region;
    std::string operation_key;
    std::uint32_t hops = 0;
    /// Credit for another failure domain; 0 inside the own one.
    std::uint64_t credit_id = 0;
    backend_server_name target;

    friend bool operator==(const forward_request&, const forward_request&) = default;
};

} // namespace toucan::rpc
