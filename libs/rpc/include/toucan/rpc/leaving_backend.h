#pragma once

#include "toucan/base/incarnation.h"
#include "toucan/base/name.h"

namespace toucan::rpc {

/// A backend server that is leaving, for one incarnation of it.
struct leaving_backend {
    backend_server_name backend;
    /// As the backend server reports it; zero if it reported none.
    incarnation run;

    friend auto operator<=>(const leaving_backend&, const leaving_backend&) = default;
};

} // namespace toucan::rpc
