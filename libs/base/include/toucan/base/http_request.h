#pragma once

#include "toucan/base/http_header.h"

#include <string>
#include <vector>

namespace toucan {

/// HTTP request of a caller, as forwarded to a backend server.
struct http_request {
    std::string method;
    /// Path within the service, beginning with `/`, and query.
    std::string path;
    std::vector<http_header> headers;
    std::string body;

    friend bool operator==(const http_request&, const http_request&) = default;
};

} // namespace toucan
