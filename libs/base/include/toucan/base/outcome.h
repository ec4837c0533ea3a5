#pragma once

#include "toucan/base/http_response.h"

#include <chrono>
#include <string>
#include <variant>

namespace toucan {

/// The backend server ran the request; the response is complete.
struct completed {
    http_response response;

    friend bool operator==(const completed&, const completed&) = default;
};

/// The request did not run and will not be dispatched later.
struct not_run {
    std::string reason;
    std::chrono::milliseconds retry_after{0};

    friend bool operator==(const not_run&, const not_run&) = default;
};

/// The request may have run; its response is not available.
struct unknown {
    std::string reason;

    friend bool operator==(const unknown&, const unknown&) = default;
};

/// Final result of a request, as reported to the caller.
using outcome = std::variant<completed, not_run, unknown>;

} // namespace toucan
