#include "directory.h"

namespace toucan::edge {

namespace {

/// Maximum number of addresses in a look-up answer.
constexpr std::size_t max_addresses = 64;

} // namespace

bool directory::usable(const member_record& it, bool isolated) const
{
    if (it.name == settings_.name) {
        return local_ready_;
    }
    // A daemon that receives no heartbeats at all is itself cut off. Missing heartbeats then do not
    // show that the other daemons have failed.
    return it.state == member_state::ready && (isolated || peers_.alive(it.name));
}

std::vector<std::string> directory::addresses(const failure_domain_name& domain,
                                              const region_name& region) const
{
    const bool isolated = !peers_.has_live_peer();
    std::vector<std::string> in_domain;
    std::vector<std::string> in_region;
    std::vector<std::string> all;
    for (const auto& [name, it] : members_) {
        if (!usable(it, isolated)) {
            continue;
        }
        const auto address = it.callers.to_string();
        all.push_back(address);
        if (it.region == region) {
            in_region.push_back(address);
        }
        if (it.failure_domain == domain) {
            in_domain.push_back(address);
        }
    }
    auto& chosen = !in_domain.empty() ? in_domain : !in_region.empty() ? in_region : all;
    if (chosen.size() > max_addresses) {
        chosen.resize(max_addresses);
    }
    return chosen;
}

} // namespace toucan::edge
