#pragma once

#include <string>

namespace toucan::steering {

/// Declares whether requests with one method and path prefix are idempotent.
struct operation_rule {
    std::string method;
    std::string path_prefix;
    bool idempotent = false;

    friend bool operator==(const operation_rule&, const operation_rule&) = default;
};

} // namespace toucan::steering
