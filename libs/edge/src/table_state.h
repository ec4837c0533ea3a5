#pragma once

#include "toucan/base/clock.h"
#include "toucan/edge/store_position.h"

#include <cstdint>
#include <optional>

namespace toucan::edge {

/// How current a copy of a table of the shared store is.
struct table_state {
    /// Version of the newest row.
    std::uint64_t newest_row = 0;
    /// Clock of the store when it last confirmed that there is no newer row; 0 if it is not known.
    milliseconds store_time{0};
    /// When this daemon learned of that; empty if there is no confirmation.
    std::optional<steady_time> confirmed_at;
    /// Era of the store to which `newest_row` belongs.
    std::uint64_t era = 0;

    [[nodiscard]] store_position position() const { return {era, newest_row}; }

    friend bool operator==(const table_state&, const table_state&) = default;
};

/// Takes over what another copy of the same table shows: a newer row, or a later confirmation of
/// the same one. Confirmations are ordered by the clock of the store: if daemons passed on their
/// ages, the delays of the reports would add up and a confirmation would never grow old.
inline void merge_state(table_state& to, const table_state& from)
{
    if (from.position() > to.position()) {
        to = from;
    }
    else if (from.position() == to.position() && from.store_time > to.store_time) {
        to.store_time = from.store_time;
        to.confirmed_at = from.confirmed_at;
    }
}

/// Time since the last confirmation.
/// @return nothing if there is none.
inline std::optional<milliseconds> age_of(const table_state& it, steady_time now)
{
    if (!it.confirmed_at) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - *it.confirmed_at);
}

/// An age for logs and metrics, in milliseconds; -1 if it is not known.
inline std::int64_t age_ms(const std::optional<milliseconds>& age)
{
    return age ? age->count() : -1;
}

} // namespace toucan::edge
