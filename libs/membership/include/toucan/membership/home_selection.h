#pragma once

#include "toucan/membership/member_view.h"

#include <optional>
#include <vector>

namespace toucan::membership {

/// Home of a backend server: the daemon that admits and dispatches its requests. Members with the
/// same set of ready members select the same home.
/// @param ready addresses of the ready and reachable members of its failure domain.
/// @return nothing if no member is ready.
std::optional<vm_address> home_of(const backend_server_name& backend,
                                  std::vector<vm_address> ready);

/// Whether this daemon may act as the home of a backend server.
enum class home_state {
    home,
    not_home,
    /// The last sync with another member is older than `home_validity`, for example after a pause
    /// of the process.
    stale_view,
};

/// State of this daemon as the home of a backend server.
/// @param view snapshot of the member table, taken at `now`.
home_state evaluate_home(const member_view& view, const backend_server_name& backend,
                         steady_time now);

} // namespace toucan::membership
