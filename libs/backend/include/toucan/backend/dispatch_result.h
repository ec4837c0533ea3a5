#pragma once

#include "toucan/base/http_response.h"
#include "toucan/base/outcome.h"

#include <chrono>
#include <string>
#include <variant>

namespace toucan::backend {

/// The whole response of the backend server.
struct responded {
    http_response response;
};

/// Certainly no byte of the request was written.
struct not_sent {
    std::string reason;
};

/// The backend server said that it did not run the request.
struct shed {
    std::chrono::milliseconds retry_after{0};
};

/// Bytes were written, and the connection failed or the response is not complete.
struct cut_short {
    std::string reason;
};

/// Bytes were written, and the deadline passed before the response was complete.
struct timed_out {
    std::string reason;
};

using dispatch_result = std::variant<responded, not_sent, shed, cut_short, timed_out>;

/// `responded` is completed, `not_sent` and `shed` are not run, the rest is unknown.
/// @param it result of an attempt that will not be repeated.
outcome to_outcome(dispatch_result it);

} // namespace toucan::backend
