#pragma once

#include "toucan/base/incarnation.h"
#include "toucan/base/name.h"

namespace toucan::rpc {

/// One incarnation of a backend server that is leaving.
struct leaving_backend {
    backend_server_name backend;
    /// As reported by the backend server; 0 if it reported none.
    incarnation run;

    friend auto operator<=>(const leaving_backend&, const leaving_backend&) = default;
};

} // namespace toucan::rpc
