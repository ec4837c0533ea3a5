#include "toucan/membership/home_selection.h"

#include "toucan/base/config.h"
#include "toucan/base/rendezvous.h"

#include <fmt/format.h>

#include <utility>

namespace toucan::membership {

std::optional<vm_address> home_of(const backend_server_name& backend, std::vector<vm_address> ready)
{
    const auto order =
        rendezvous_order(fmt::format("home {}", backend.text()), std::move(ready), 1);
    return order.empty() ? std::nullopt : std::optional(order.front());
}

home_state evaluate_home(const member_view& view, const backend_server_name& backend,
                         steady_time now)
{
    const bool is_view_current =
        view.last_sync && now - *view.last_sync <= toucan::config::home_validity;
    if (!is_view_current && !view.is_alone) {
        return home_state::stale_view;
    }
    return home_of(backend, view.ready_addresses()) == view.self.id.address ? home_state::home
                                                                            : home_state::not_home;
}

} // namespace toucan::membership
