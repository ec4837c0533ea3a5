#pragma once

#include "toucan/base/name.h"

#include <cstdint>

namespace toucan::rpc {

/// Load of one backend server, reported by its home, which is the daemon that admits requests to
/// it.
struct backend_load {
    backend_server_name backend;
    /// Slots that the home admits requests to; 0 while the backend server is not usable.
    std::uint32_t admitted_slots = 0;
    /// Slots with a request in progress.
    std::uint32_t in_use = 0;
    /// Requests that wait for a slot at the home.
    std::uint32_t queued = 0;

    friend bool operator==(const backend_load&, const backend_load&) = default;
};

} // namespace toucan::rpc
