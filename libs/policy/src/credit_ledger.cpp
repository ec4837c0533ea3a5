#include "toucan/policy/credit_ledger.h"

#include "toucan/policy/tunables.h"

#include <algorithm>
#include <cmath>

namespace toucan::policy {

credit_ledger::credit_ledger(credit_ledger_settings settings, std::uint64_t first_id,
                             steady_time start, bool may_have_predecessor)
    : settings_(settings), next_id_(std::max<std::uint64_t>(first_id, 1)),
      no_grants_before_(may_have_predecessor ? start + settings.lifetime : start)
{
}

std::optional<credit_grant> credit_ledger::grant(const vm_id& requester, std::uint32_t wanted,
                                                 const home_load& load, steady_time now)
{
    expire(now);
    if (now < no_grants_before_) {
        return std::nullopt;
    }
    const auto live = std::find_if(entries_.begin(), entries_.end(), [&](const auto& it) {
        return it.requester == requester && now < it.expires;
    });
    std::uint32_t used = 0;
    if (live != entries_.end()) {
        used = live->in_use;
        // Slots that the requester holds but does not use are spare for its renewal.
        live->slots = live->in_use;
    }
    const auto free = spare(load, now);
    const auto share = static_cast<std::uint32_t>(std::ceil(free * grant_share));
    const auto slots = std::min(std::max(wanted, used), used + share);
    if (live != entries_.end()) {
        live->slots = slots;
        if (slots == 0) {
            return std::nullopt;
        }
        live->expires = now + settings_.lifetime;
        return credit_grant{live->id, slots, settings_.lifetime};
    }
    if (slots == 0) {
        return std::nullopt;
    }
    entries_.push_back({next_id_, requester, slots, 0, now + settings_.lifetime});
    return credit_grant{next_id_++, slots, settings_.lifetime};
}

credit_check credit_ledger::accept(std::uint64_t id, steady_time now)
{
    auto* it = find(id);
    if (it == nullptr) {
        return credit_check::unknown;
    }
    if (now >= it->expires) {
        return credit_check::expired;
    }
    if (it->in_use >= it->slots) {
        return credit_check::all_in_use;
    }
    ++it->in_use;
    return credit_check::accepted;
}

void credit_ledger::release(std::uint64_t id)
{
    if (auto* it = find(id); it != nullptr && it->in_use > 0) {
        --it->in_use;
    }
}

void credit_ledger::expire(steady_time now)
{
    std::erase_if(entries_, [&](const auto& it) { return now >= it.expires && it.in_use == 0; });
}

std::uint32_t credit_ledger::spare(const home_load& load, steady_time now) const
{
    const auto reserve =
        static_cast<std::uint32_t>(std::ceil(load.admitted * settings_.local_reserve));
    const auto taken = load.local_in_use + load.waiting + reserve + committed(now);
    return load.admitted > taken && now >= no_grants_before_ ? load.admitted - taken : 0;
}

std::uint32_t credit_ledger::committed(steady_time now) const
{
    std::uint32_t sum = 0;
    for (const auto& it : entries_) {
        sum += committed_slots(it, now);
    }
    return sum;
}

std::uint32_t credit_ledger::unused(steady_time now) const
{
    return committed(now) - in_use();
}

std::uint32_t credit_ledger::in_use() const
{
    std::uint32_t sum = 0;
    for (const auto& it : entries_) {
        sum += it.in_use;
    }
    return sum;
}

credit_ledger::entry* credit_ledger::find(std::uint64_t id)
{
    const auto it = std::find_if(entries_.begin(), entries_.end(),
                                 [&](const auto& other) { return other.id == id; });
    return it != entries_.end() ? &*it : nullptr;
}

std::uint32_t credit_ledger::committed_slots(const entry& it, steady_time now)
{
    return now < it.expires ? std::max(it.slots, it.in_use) : it.in_use;
}

} // namespace toucan::policy
