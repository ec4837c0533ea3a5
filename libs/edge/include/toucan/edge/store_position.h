#pragma once

#include <compare>
#include <cstdint>

namespace toucan::edge {

/// Position in the history of the shared store. A store that was restored from an older copy goes
/// back to an older version and gives the same versions out again, in its next era, so a version
/// alone does not order two states of the store.
struct store_position {
    /// 0 if it is not known.
    std::uint64_t era = 0;
    std::uint64_t version = 0;

    friend auto operator<=>(const store_position&, const store_position&) = default;
};

} // namespace toucan::edge
