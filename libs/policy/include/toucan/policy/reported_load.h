#pragma once

#include <cstdint>

namespace toucan::policy {

/// Load of a backend server as it states it in a response.
struct reported_load {
    /// Requests that run on the server.
    std::uint32_t running = 0;
    /// Requests that wait on the server.
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    /// Time that work takes on the server at the moment, relative to its usual time: 2.5 if it
    /// takes 2.5 times as long. 1 if the server does not say.
    double slowness = 1;

    friend bool operator==(const reported_load&, const reported_load&) = default;
};

} // namespace toucan::policy
