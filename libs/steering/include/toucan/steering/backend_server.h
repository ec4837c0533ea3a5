#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <cstdint>

namespace toucan::steering {

/// Configuration of one backend server of a service.
struct backend_server {
    backend_server_name name;
    vm_address address;
    failure_domain_name failure_domain;
    /// Requests that the backend server processes at the same time.
    std::uint32_t slots = 1;
    /// Limit on open connections to the backend server.
    std::uint32_t connections = 1;
    /// Set by the operator to stop new requests to the backend server.
    bool leaving = false;

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

} // namespace toucan::steering
