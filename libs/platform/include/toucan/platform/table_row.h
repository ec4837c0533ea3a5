#pragma once

#include <cstdint>
#include <string>

namespace toucan::platform {

/// A row of the table service. Each change of the row raises its revision.
struct table_row {
    std::string value;
    std::uint64_t revision = 0;

    friend bool operator==(const table_row&, const table_row&) = default;
};

} // namespace toucan::platform
