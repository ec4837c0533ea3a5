#pragma once

#include "toucan/base/http_header.h"

#include <string>
#include <vector>

namespace toucan {

/// Complete HTTP response of a backend server.
struct http_response {
    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    friend bool operator==(const http_response&, const http_response&) = default;
};

} // namespace toucan
