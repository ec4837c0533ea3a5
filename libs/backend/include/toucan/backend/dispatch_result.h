#pragma once

#include "toucan/base/http_response.h"
#include "toucan/base/outcome.h"
#include "toucan/base/response_fault.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>

namespace toucan::backend {

/// The response was received completely.
struct responded {
    http_response response;
};

/// No byte of the request was written to the connection.
struct not_sent {
    std::string reason;
};

/// The backend server rejected the request with `Toucan-Shed: 1` and did not run it.
struct shed {
    std::chrono::milliseconds retry_after{0};
};

/// Bytes of the request were written; then the connection failed, the request was cancelled, or the
/// response was incomplete or broken.
struct interrupted {
    std::string reason;
    /// Set if a response arrived that is not used.
    std::optional<response_fault> fault = {};
};

/// Bytes of the request were written, and the deadline passed before the response was complete.
struct timed_out {
    std::string reason;
};

/// Result of sending a request to a backend server once.
using dispatch_result = std::variant<responded, not_sent, shed, interrupted, timed_out>;

/// Maps `responded` to `completed`, `not_sent` and `shed` to `not_run`, all others to `unknown`.
/// @param it result of the last attempt; the request is not dispatched again.
outcome to_outcome(dispatch_result it);

} // namespace toucan::backend
