#pragma once

#include "toucan/platform/table_row.h"

#include <optional>
#include <string>
#include <variant>

namespace toucan::platform {

/// The write took effect.
struct write_applied {
    /// New revision of the row.
    std::uint64_t revision = 0;
};

/// The write did not take effect, because the row had another revision.
struct write_conflict {
    /// Current row; empty if it does not exist.
    std::optional<table_row> present;
};

/// The write did not take effect: the request was not sent, or the platform rejected it.
struct write_refused {
    std::string reason;
};

/// The write may have taken effect or may still do so. Causes: the response was lost, or the
/// protocol does not define its status.
struct write_unknown {
    std::string reason;
};

/// Result of a compare-and-set on a row of the table service.
using write_result = std::variant<write_applied, write_conflict, write_refused, write_unknown>;

} // namespace toucan::platform
