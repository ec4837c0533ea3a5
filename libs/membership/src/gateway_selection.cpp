#include "toucan/membership/gateway_selection.h"

#include "toucan/base/config.h"
#include "toucan/base/rendezvous.h"

#include <fmt/format.h>

#include <utility>

namespace toucan::membership {

std::vector<vm_address> gateways(const failure_domain_name& local,
                                 const failure_domain_name& remote, std::vector<vm_address> ready)
{
    return rendezvous_order(fmt::format("gateway {} {}", local.text(), remote.text()),
                            std::move(ready), toucan::config::gateways_per_remote_domain);
}

std::optional<vm_address> gateway_target(const failure_domain_name& remote, vm_address gateway,
                                         const std::vector<vm_address>& known,
                                         const std::set<vm_address>& failing,
                                         const std::vector<vm_address>& seeds)
{
    const auto key = fmt::format("target {} {}", remote.text(), gateway.to_string());
    const auto order = rendezvous_order(key, known, known.size());
    for (const auto& candidates : {order, rendezvous_order(key, seeds, seeds.size())}) {
        for (const auto& it : candidates) {
            if (it != gateway && !failing.contains(it)) {
                return it;
            }
        }
    }
    return order.empty() ? std::nullopt : std::optional(order.front());
}

} // namespace toucan::membership
