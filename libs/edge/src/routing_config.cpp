#include "toucan/edge/routing_config.h"

#include "toucan/base/text.h"

#include <utility>

namespace toucan::edge {

routing_config::routing_config(std::uint64_t version, config_entries entries)
    : version_(version), entries_(std::move(entries))
{
    for (std::size_t n = 0; n < entries_.routes.size(); ++n) {
        const auto& it = entries_.routes[n];
        hosts_[it.host].emplace(it.prefix, n);
    }
}

const service_settings* routing_config::service(const service_name& name) const
{
    const auto it = entries_.services.find(name);
    return it == entries_.services.end() ? nullptr : &it->second;
}

const route* routing_config::find(std::string_view host, std::string_view target) const
{
    const auto found = hosts_.find(to_absl(host));
    if (found == hosts_.end()) {
        return nullptr;
    }
    auto path = target.substr(0, target.find('?'));
    // A prefix ends with a slash, so only the parts of the path up to one of its slashes can match.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/')) {
        const auto it = found->second.find(to_absl(path.substr(0, slash + 1)));
        if (it != found->second.end()) {
            return &entries_.routes[it->second];
        }
        if (slash == 0) {
            break;
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

} // namespace toucan::edge
