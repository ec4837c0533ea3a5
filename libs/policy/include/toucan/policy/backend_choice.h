#pragma once

#include "toucan/base/clock.h"

#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace toucan::policy {

/// A backend server as a choice for one request.
struct backend_option {
    /// Stable hash of the server's name.
    std::uint64_t id = 0;
    std::uint32_t slots = 1;
    /// Requests in progress there from all daemons, as far as known.
    double load = 0;
    /// Options of a lower tier are preferred while they have room.
    std::uint32_t tier = 0;
    /// This daemon has used up its part of the slots.
    bool full = false;
    /// It bears no request now: leaving, evacuated, avoided, cold limit used up, or tried already.
    bool excluded = false;
    /// It takes a request only if no other server has room.
    bool last_resort = false;
};

/// Load per slot up to which a server takes requests.
struct load_bounds {
    /// For an object whose first choice it is.
    double first = 1;
    /// For objects of its tier that find no room at their first choice.
    double second = 1;
    /// For objects of another tier that find no room in theirs.
    double other_tier = 1;

    friend bool operator==(const load_bounds&, const load_bounds&) = default;
};

/// Chooses the backend server for a request that concerns an object: in each tier, the first few
/// servers in the rendezvous order of the object are tried. Requests for one object so meet at the
/// same servers, which have it in their caches. If none of these has room, it is better to wait for
/// one than to spread the object over more servers: each of them would push other objects out.
/// Slots that are kept for first choices (trunk reservation) matter under overload: a request that
/// overflows runs cold, takes several times the work, and pushes a request with a warm server there
/// to overflow in its turn.
/// @param object hash of the object; any spread value if the request concerns none.
/// @param spread for each tier that may be chosen, how many of its servers are tried.
/// @return index of the option, or nothing if none has room.
[[nodiscard]] std::optional<std::size_t> choose_backend(absl::Span<const backend_option> options,
                                                        std::uint64_t object,
                                                        const load_bounds& bounds,
                                                        absl::Span<const std::uint32_t> spread);

} // namespace toucan::policy
