#pragma once

#include "toucan/platform/table_row.h"

#include <string>
#include <variant>

namespace toucan::platform {

/// The row does not exist.
struct row_absent {};

/// The platform did not answer, or its response was not valid.
struct read_failed {
    std::string reason;
};

/// Result of reading a row of the table service.
using read_result = std::variant<table_row, row_absent, read_failed>;

} // namespace toucan::platform
