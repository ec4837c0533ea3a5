#pragma once

#include "toucan/membership/member_view.h"

#include <optional>
#include <vector>

namespace toucan::membership {

/// Home daemon of a backend server; none if no member is ready.
/// @param ready addresses of the ready and reachable members of its failure domain.
std::optional<vm_address> home_of(const backend_server_name& backend,
                                  std::vector<vm_address> ready);

/// Whether this daemon may act as the home of a backend server now.
enum class home_state {
    home,
    not_home,
    /// Its view is too old to tell, for example after a pause.
    stale_view,
};

/// @param view snapshot of the member table, taken at `now`.
home_state home_verdict(const member_view& view, const backend_server_name& backend,
                        steady_time now);

} // namespace toucan::membership
