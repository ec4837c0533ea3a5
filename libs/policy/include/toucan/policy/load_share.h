#pragma once

#include <cstddef>

namespace toucan::policy {

/// Load of one backend server as known to one daemon, from the last reports of the other daemons.
struct server_load {
    /// Slots occupied by this daemon's requests.
    double local = 0;
    /// Slots occupied by the requests of all daemons.
    double total = 0;
    /// Load, in slots, up to which daemons use the server.
    double bound = 0;
    /// Number of daemons that use the server, including this one.
    std::size_t sharers = 1;

    friend bool operator==(const server_load&, const server_load&) = default;
};

/// Load, in slots, that this daemon may put on the server until the next reports. Free slots are
/// divided among the daemons that use the server, and an excess is reduced in proportion to each
/// daemon's load. If each daemon took all the slots that it saw free, they would be filled several
/// times over.
/// @param draw uniform in [0, 1); used to round a fraction of a slot up or down at random.
[[nodiscard]] double local_load_limit(const server_load& load, double draw);

} // namespace toucan::policy
