#pragma once

#include "toucan/base/name.h"

#include <cstdint>

namespace toucan::rpc {

/// Load of one backend server, reported by its home daemon.
struct backend_load {
    backend_server_name backend;
    std::uint32_t admitted_slots = 0;
    std::uint32_t in_use = 0;
    std::uint32_t queued = 0;

    friend bool operator==(const backend_load&, const backend_load&) = default;
};

} // namespace toucan::rpc
