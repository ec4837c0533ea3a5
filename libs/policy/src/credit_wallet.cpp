#include "toucan/policy/credit_wallet.h"

#include <algorithm>

namespace toucan::policy {

void credit_wallet::add(const received_credit& it, steady_time requested_at)
{
    const auto until = requested_at + it.lifetime - it.delay - margin_;
    if (auto* existing = find(it.id, it.backend)) {
        // A delayed reply to an earlier request must not replace a later grant.
        if (requested_at >= existing->requested_at) {
            existing->credit = it;
            existing->requested_at = requested_at;
            existing->usable_until = until;
        }
        return;
    }
    if (it.slots > 0) {
        entries_.push_back({it, requested_at, until, 0});
    }
}

std::optional<held_credit> credit_wallet::best(const service_name& service,
                                               const failure_domain_name& failure_domain,
                                               steady_time now) const
{
    const entry* best_entry = nullptr;
    for (const auto& it : entries_) {
        if (it.credit.service != service || it.credit.failure_domain != failure_domain ||
            !usable(it, now)) {
            continue;
        }
        // Prefers the credit with the most free slots, to spread requests over the backend servers.
        if (best_entry == nullptr ||
            it.credit.slots - it.in_flight > best_entry->credit.slots - best_entry->in_flight) {
            best_entry = &it;
        }
    }
    return best_entry != nullptr ? std::optional(held_credit{best_entry->credit.id, failure_domain,
                                                             best_entry->credit.backend})
                                 : std::nullopt;
}

bool credit_wallet::take(const held_credit& it, steady_time now)
{
    auto* existing = find(it.id, it.backend);
    if (existing == nullptr || !usable(*existing, now)) {
        return false;
    }
    ++existing->in_flight;
    return true;
}

std::optional<held_credit> credit_wallet::take(const service_name& service,
                                               const failure_domain_name& failure_domain,
                                               steady_time now)
{
    const auto it = best(service, failure_domain, now);
    return it && take(*it, now) ? it : std::nullopt;
}

void credit_wallet::release(const held_credit& it)
{
    if (auto* existing = find(it.id, it.backend); existing != nullptr && existing->in_flight > 0) {
        --existing->in_flight;
    }
}

void credit_wallet::drop(const held_credit& it)
{
    if (auto* existing = find(it.id, it.backend)) {
        existing->credit.slots = 0;
    }
}

void credit_wallet::expire(steady_time now)
{
    std::erase_if(entries_,
                  [&](const auto& it) { return now >= it.usable_until && it.in_flight == 0; });
    std::erase_if(pending_, [&](const auto& it) { return now >= it.until; });
}

std::uint32_t credit_wallet::available(const service_name& service,
                                       const failure_domain_name& failure_domain,
                                       steady_time now) const
{
    std::uint32_t sum = 0;
    for (const auto& it : entries_) {
        if (it.credit.service == service && it.credit.failure_domain == failure_domain &&
            usable(it, now)) {
            sum += it.credit.slots - it.in_flight;
        }
    }
    return sum;
}

std::optional<std::uint32_t>
credit_wallet::slots_to_request(const service_name& service,
                                const failure_domain_name& failure_domain, std::uint32_t demand,
                                steady_time now) const
{
    const bool is_pending = std::any_of(pending_.begin(), pending_.end(), [&](const auto& it) {
        return it.service == service && it.failure_domain == failure_domain && now < it.until;
    });
    if (demand == 0 || is_pending) {
        return std::nullopt;
    }
    // Credit with half of its lifetime or less left does not count, so that it is renewed in time.
    std::uint32_t lasting_slots = 0;
    for (const auto& it : entries_) {
        if (it.credit.service == service && it.credit.failure_domain == failure_domain &&
            now + it.credit.lifetime / 2 < it.usable_until) {
            lasting_slots += it.credit.slots;
        }
    }
    return lasting_slots < demand ? std::optional(demand) : std::nullopt;
}

void credit_wallet::mark_requested(const service_name& service,
                                   const failure_domain_name& failure_domain, steady_time now,
                                   milliseconds timeout)
{
    find_or_add_pending(service, failure_domain).until = now + timeout;
}

void credit_wallet::mark_replied(const service_name& service,
                                 const failure_domain_name& failure_domain,
                                 steady_time retry_not_before)
{
    find_or_add_pending(service, failure_domain).until = retry_not_before;
}

bool credit_wallet::usable(const entry& it, steady_time now)
{
    return now < it.usable_until && it.in_flight < it.credit.slots;
}

credit_wallet::entry* credit_wallet::find(std::uint64_t id, const backend_server_name& backend)
{
    const auto it = std::find_if(entries_.begin(), entries_.end(), [&](const auto& other) {
        return other.credit.id == id && other.credit.backend == backend;
    });
    return it != entries_.end() ? &*it : nullptr;
}

credit_wallet::pending_request&
credit_wallet::find_or_add_pending(const service_name& service,
                                   const failure_domain_name& failure_domain)
{
    for (auto& it : pending_) {
        if (it.service == service && it.failure_domain == failure_domain) {
            return it;
        }
    }
    return pending_.emplace_back(pending_request{service, failure_domain, {}});
}

} // namespace toucan::policy
