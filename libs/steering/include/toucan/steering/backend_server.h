#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <cstdint>

namespace toucan::steering {

/// A backend server of a service, as configured.
struct backend_server {
    backend_server_name name;
    vm_address address;
    failure_domain_name failure_domain;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    /// Set by the operator: the backend server is to receive no new work.
    bool leaving = false;

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

} // namespace toucan::steering
