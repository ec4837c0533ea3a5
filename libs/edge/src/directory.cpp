#include "directory.h"

#include "event_log.h"

namespace toucan::edge {

namespace {

/// Maximum number of addresses in a look-up answer.
constexpr std::size_t max_addresses = 64;

} // namespace

bool directory::usable(const member_record& it, bool is_cut_off) const
{
    if (it.name == settings_.name) {
        return local_ready_;
    }
    return it.state == member_state::ready &&
           (peers_.alive(it.name) || (is_cut_off && peers_.alive_at_last_contact(it.name)));
}

std::vector<std::string> directory::addresses(const failure_domain_name& domain,
                                              const region_name& region) const
{
    const bool is_cut_off = cut_off();
    std::vector<std::string> in_domain;
    std::vector<std::string> in_region;
    std::vector<std::string> all;
    for (const auto& [name, it] : members_) {
        if (!usable(it, is_cut_off)) {
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

directory_state directory::state() const
{
    directory_state it;
    it.rows = members_.size();
    it.isolated = !peers_.has_live_peer();
    it.table_current = table_current_();
    const bool is_cut_off = cut_off();
    for (const auto& [name, member] : members_) {
        it.alive += name != settings_.name && peers_.alive(name) ? 1 : 0;
        it.named += usable(member, is_cut_off) ? 1 : 0;
    }
    return it;
}

void directory::log_changes()
{
    const auto it = state();
    if (it == logged_) {
        return;
    }
    logged_ = it;
    log_event("directory", "rows={} alive={} named={} isolated={} table_current={}", it.rows,
              it.alive, it.named, it.isolated, it.table_current);
}

} // namespace toucan::edge
