#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <cstdint>

namespace toucan::daemon {

/// A backend server of the local failure domain and the RPC address of its home.
struct local_backend {
    backend_server_name name;
    std::uint32_t slots = 0;
    vm_address home;
    /// True also if no home is available. The backend server gets no new requests then.
    bool leaving = false;

    friend bool operator==(const local_backend&, const local_backend&) = default;
};

} // namespace toucan::daemon
