#include "toucan/policy/local_backend_choice.h"

#include "toucan/policy/confidence.h"
#include "toucan/policy/tunables.h"

#include <algorithm>

namespace toucan::policy {

void local_backend_choice::set_backend(const backend_server_name& backend, std::uint32_t slots)
{
    slots = std::max(1U, slots);
    if (auto* it = find(backend)) {
        it->slots = slots;
        return;
    }
    entry added;
    added.name = backend;
    added.slots = slots;
    added.admitted = slots;
    entries_.push_back(std::move(added));
}

void local_backend_choice::remove(const backend_server_name& backend)
{
    std::erase_if(entries_, [&](const auto& it) { return it.name == backend; });
}

void local_backend_choice::set_leaving(const backend_server_name& backend, bool leaving)
{
    if (auto* it = find(backend)) {
        it->leaving = leaving;
    }
}

void local_backend_choice::report(const backend_server_name& backend, std::uint32_t admitted,
                                  std::uint32_t load, steady_time now)
{
    if (auto* it = find(backend)) {
        it->admitted = std::max(1U, admitted);
        it->other_load.report(load > it->in_flight ? load - it->in_flight : 0, now,
                              load_report_weight);
    }
}

void local_backend_choice::sent(const backend_server_name& backend)
{
    if (auto* it = find(backend)) {
        ++it->in_flight;
    }
}

void local_backend_choice::finished(const backend_server_name& backend)
{
    if (auto* it = find(backend); it != nullptr && it->in_flight > 0) {
        --it->in_flight;
    }
}

std::optional<backend_server_name>
local_backend_choice::choose(absl::Span<const backend_server_name> tried, std::uint64_t draw,
                             steady_time now) const
{
    std::vector<const entry*> eligible;
    std::uint64_t slots = 0;
    for (const auto& it : entries_) {
        if (!it.leaving && std::find(tried.begin(), tried.end(), it.name) == tried.end()) {
            eligible.push_back(&it);
            slots += it.slots;
        }
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    // Draws in proportion to configured slots, so that equal scores give shares by capacity.
    const auto pick = [&](std::uint64_t bits, const entry* excluded) {
        std::uint64_t offset = bits % (slots - (excluded != nullptr ? excluded->slots : 0));
        for (const auto* it : eligible) {
            if (it == excluded) {
                continue;
            }
            if (offset < it->slots) {
                return it;
            }
            offset -= it->slots;
        }
        return eligible.front();
    };
    const auto* first = pick(draw >> 32U, nullptr);
    if (eligible.size() == 1) {
        return first->name;
    }
    const auto* second = pick(draw & 0xffffffffU, first);
    const double fallback = mean_other_load(now);
    const bool use_second =
        worth_changing(score_of(*first, fallback, now), score_of(*second, fallback, now));
    return use_second ? second->name : first->name;
}

std::optional<double> local_backend_choice::score(const backend_server_name& backend,
                                                  steady_time now) const
{
    for (const auto& it : entries_) {
        if (it.name == backend) {
            return score_of(it, mean_other_load(now), now);
        }
    }
    return std::nullopt;
}

local_backend_choice::entry* local_backend_choice::find(const backend_server_name& backend)
{
    const auto it = std::find_if(entries_.begin(), entries_.end(),
                                 [&](const auto& other) { return other.name == backend; });
    return it != entries_.end() ? &*it : nullptr;
}

double local_backend_choice::score_of(const entry& it, double fallback, steady_time now)
{
    return it.other_load.value(fallback * it.admitted, now) / it.admitted +
           static_cast<double>(it.in_flight) / it.admitted;
}

double local_backend_choice::mean_other_load(steady_time now) const
{
    double load = 0;
    double slots = 0;
    for (const auto& it : entries_) {
        load += it.other_load.value(0, now);
        slots += it.other_load.trust(now) * it.admitted;
    }
    return slots > 0 ? load / slots : 0;
}

} // namespace toucan::policy
