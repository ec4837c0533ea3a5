#pragma once

#include <string>

namespace toucan {

/// One HTTP header field.
struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

} // namespace toucan
