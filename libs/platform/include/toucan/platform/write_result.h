#pragma once

#include "toucan/platform/table_row.h"

#include <optional>
#include <string>
#include <variant>

namespace toucan::platform {

/// The write took effect; the row has this revision.
struct write_applied {
    std::uint64_t revision = 0;
};

/// The row had another revision; the write did not take effect.
struct write_conflict {
    /// The row as it is; empty if it is absent.
    std::optional<table_row> present;
};

/// The write certainly did not take effect.
struct write_refused {
    std::string reason;
};

/// The reply was lost: the write may have taken effect, now or later.
struct write_unknown {
    std::string reason;
};

using write_result = std::variant<write_applied, write_conflict, write_refused, write_unknown>;

} // namespace toucan::platform
