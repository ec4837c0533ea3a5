#pragma once

#include <cstddef>

namespace toucan::edge {

/// What the look-up answers of a daemon rest on.
struct directory_state {
    /// Daemons that have a row, this one included.
    std::size_t rows = 0;
    /// Other daemons that are ready and have reported within the liveness timeout.
    std::size_t alive = 0;
    /// Daemons that a look-up answer may name.
    std::size_t named = 0;
    /// No other daemon has reported within the liveness timeout.
    bool isolated = false;
    /// The table of the daemons is current.
    bool table_current = false;

    friend bool operator==(const directory_state&, const directory_state&) = default;
};

} // namespace toucan::edge
