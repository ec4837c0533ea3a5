#pragma once

#include <string>

namespace toucan::steering {

/// Says whether requests of one method below one path are idempotent.
struct operation_rule {
    std::string method;
    std::string path_prefix;
    bool idempotent = false;

    friend bool operator==(const operation_rule&, const operation_rule&) = default;
};

} // namespace toucan::steering
