#pragma once

#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace toucan::policy {

/// Candidate backend server for one request.
struct backend_option {
    /// Stable hash of the server's name.
    std::uint64_t id = 0;
    std::uint32_t slots = 1;
    /// Requests in progress on the server from all daemons, as far as known.
    double load = 0;
    /// Servers of a lower tier are preferred while they have capacity.
    std::uint32_t tier = 0;
    /// This daemon has used up its share of the server's slots.
    bool full = false;
    /// Not eligible for this request: leaving, evacuated, avoided, at its cold request limit, or
    /// already tried.
    bool excluded = false;
    /// The server has probably left; see `exclude_lapsed`.
    bool lapsed = false;
    /// Chosen only if no other server has capacity.
    bool last_resort = false;
    /// Share of its usual load that a server of last resort still takes for the objects that rank
    /// it first, 0 to 1.
    double fitness = 1;
    /// Time that work takes on the server at the moment, relative to its usual time. Load on a slow
    /// server counts in proportion to the time that it takes.
    double slowness = 1;
    /// The server can serve the request in time in spite of its slowness. It then keeps it if it
    /// ranks first, because the work is several times as much on a server without the object.
    bool keeps_objects = true;
};

/// Load per slot below which a server accepts another request.
struct load_bounds {
    /// For the top-ranked server of the first tier that has eligible servers.
    double first_choice = 1;
    /// For the other servers tried in that tier.
    double second_choice = 1;
    /// For the servers tried in later tiers.
    double other_tier = 1;

    friend bool operator==(const load_bounds&, const load_bounds&) = default;
};

/// Candidates of one tier for one object.
struct ranked_tier {
    /// In the object's rendezvous order. Later servers of the order may be left out.
    std::vector<backend_option> options;
    /// Number of servers to try.
    std::uint32_t spread = 0;
};

/// Excludes lapsed servers, unless no other server is eligible. After an outage of the store that
/// holds the servers' rows, all rows may be missing for a moment although the servers are there; a
/// single missing row means that its server has left.
void exclude_lapsed(std::vector<backend_option>& options);

/// Chooses the backend server for a request by rendezvous hashing of its object: in each tier, the
/// first `spread` servers in the object's rendezvous order are tried. Requests for one object
/// therefore reach the same few servers, which have it cached. If none of them has capacity, the
/// request should wait: spreading the object over more servers would evict other objects from each
/// of their caches.
/// The lower bounds of `load_bounds` reserve slots of each server for the objects that rank it
/// first (trunk reservation). This matters under overload: a request that overflows to another
/// server runs on a cold cache, takes several times the work, and displaces a request from its warm
/// server, which then overflows as well.
/// A server of last resort keeps the objects that rank it first in the first tier, up to its
/// fitness. If it lost them all, a slow or failing server would push its whole load on servers that
/// have the objects cold.
/// @return the chosen option, or nullptr if no server that is tried has capacity.
[[nodiscard]] const backend_option* choose_ranked(absl::Span<const ranked_tier> tiers,
                                                  const load_bounds& bounds);

/// Chooses for a request that was already sent to another server: as `choose_ranked`, but a server
/// that is slow at the moment is chosen only if no other one that is tried has capacity.
[[nodiscard]] const backend_option* choose_fast_first(absl::Span<const ranked_tier> tiers,
                                                      const load_bounds& bounds);

/// Ranks the options of each tier and chooses as `choose_ranked` does.
/// @param object hash of the object; any evenly distributed value if the request has none.
/// @param spread number of servers to try, one entry per tier.
/// @return index of the chosen option, or nothing if no server that is tried has capacity.
[[nodiscard]] std::optional<std::size_t> choose_backend(absl::Span<const backend_option> options,
                                                        std::uint64_t object,
                                                        const load_bounds& bounds,
                                                        absl::Span<const std::uint32_t> spread);

} // namespace toucan::policy
