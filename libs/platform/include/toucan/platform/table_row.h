#pragma once

#include <cstdint>
#include <string>

namespace toucan::platform {

/// Row of the table service. Each change increases its revision.
struct table_row {
    std::string value;
    std::uint64_t revision = 0;

    friend bool operator==(const table_row&, const table_row&) = default;
};

} // namespace toucan::platform
