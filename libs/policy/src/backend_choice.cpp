#include "toucan/policy/backend_choice.h"

#include "toucan/policy/server_ranking.h"

#include <algorithm>

namespace toucan::policy {

namespace {

/// Slowness from which a server is avoided for requests that are sent again.
constexpr double slow_from = 1.25;

/// @param first whether the server is the first choice for the object.
bool has_capacity(const backend_option& it, double bound, bool first)
{
    const double work = first && it.keeps_objects ? 1 : std::max(it.slowness, 1.0);
    return !it.full && it.load * work < bound * it.slots;
}

bool has_healthy(const ranked_tier& it)
{
    return std::any_of(it.options.begin(), it.options.end(), [](const backend_option& option) {
        return !option.excluded && !option.last_resort;
    });
}

/// Load bound of the server of a given rank in its tier.
double bound_at(const load_bounds& bounds, bool first_tier, std::size_t rank)
{
    if (!first_tier) {
        return bounds.other_tier;
    }
    return rank == 0 ? bounds.first_choice : bounds.second_choice;
}

const backend_option* choose_healthy(const ranked_tier& tier, const load_bounds& bounds,
                                     bool first_tier)
{
    std::size_t rank = 0;
    for (const auto& it : tier.options) {
        if (it.excluded || it.last_resort) {
            continue;
        }
        if (rank == tier.spread) {
            break;
        }
        if (has_capacity(it, bound_at(bounds, first_tier, rank), first_tier && rank == 0)) {
            return &it;
        }
        ++rank;
    }
    return nullptr;
}

/// @param any_healthy whether any tier has a healthy server.
const backend_option* choose_last_resort(const ranked_tier& tier, const load_bounds& bounds,
                                         bool first_tier, bool any_healthy)
{
    const auto tried = any_healthy ? std::min(tier.spread, 1U) : tier.spread;
    std::size_t rank = 0;
    bool first_eligible = true;
    for (const auto& it : tier.options) {
        if (it.excluded) {
            continue;
        }
        const bool first_choice = first_tier && first_eligible;
        first_eligible = false;
        if (!it.last_resort) {
            continue;
        }
        if (rank == tried) {
            break;
        }
        const double kept = std::max(bounds.other_tier, it.fitness * bounds.first_choice);
        const double bound = !any_healthy   ? bound_at(bounds, first_tier, rank)
                             : first_choice ? kept
                                            : bounds.other_tier;
        if (has_capacity(it, bound, first_choice)) {
            return &it;
        }
        ++rank;
    }
    return nullptr;
}

} // namespace

void exclude_lapsed(std::vector<backend_option>& options)
{
    const bool any_other = std::any_of(options.begin(), options.end(),
                                       [](const auto& it) { return !it.excluded && !it.lapsed; });
    for (auto& it : options) {
        it.excluded = it.excluded || (any_other && it.lapsed);
    }
}

const backend_option* choose_ranked(absl::Span<const ranked_tier> tiers, const load_bounds& bounds)
{
    bool any_healthy = false;
    for (const auto& tier : tiers) {
        if (const auto* it = choose_healthy(tier, bounds, !any_healthy)) {
            return it;
        }
        any_healthy = any_healthy || (tier.spread > 0 && has_healthy(tier));
    }
    for (std::size_t n = 0; n < tiers.size(); ++n) {
        const bool first_tier = any_healthy ? n == 0 : true;
        if (const auto* it = choose_last_resort(tiers[n], bounds, first_tier, any_healthy)) {
            return it;
        }
    }
    return nullptr;
}

const backend_option* choose_fast_first(absl::Span<const ranked_tier> tiers,
                                        const load_bounds& bounds)
{
    std::vector<ranked_tier> fast(tiers.begin(), tiers.end());
    bool any_slow = false;
    for (auto& tier : fast) {
        for (auto& it : tier.options) {
            // Slow servers keep their ranks, so that the bounds of the others stay the same.
            const bool slow = it.slowness >= slow_from;
            it.full = it.full || slow;
            any_slow = any_slow || slow;
        }
    }
    const auto* chosen = any_slow ? choose_ranked(fast, bounds) : nullptr;
    if (chosen == nullptr) {
        return choose_ranked(tiers, bounds);
    }
    for (const auto& tier : tiers) {
        const auto found =
            std::find_if(tier.options.begin(), tier.options.end(),
                         [&](const backend_option& it) { return it.id == chosen->id; });
        if (found != tier.options.end()) {
            return &*found;
        }
    }
    return nullptr;
}

std::optional<std::size_t> choose_backend(absl::Span<const backend_option> options,
                                          std::uint64_t object, const load_bounds& bounds,
                                          absl::Span<const std::uint32_t> spread)
{
    std::vector<ranked_tier> tiers(spread.size());
    for (std::size_t n = 0; n < spread.size(); ++n) {
        tiers[n].spread = spread[n];
        for (const auto& it : options) {
            if (it.tier == n) {
                tiers[n].options.push_back(it);
            }
        }
        std::sort(tiers[n].options.begin(), tiers[n].options.end(),
                  [&](const auto& lhs, const auto& rhs) {
                      return rendezvous_weight(lhs.id, object) > rendezvous_weight(rhs.id, object);
                  });
    }
    const auto* chosen = choose_ranked(tiers, bounds);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    const auto it = std::find_if(options.begin(), options.end(), [&](const auto& option) {
        return option.id == chosen->id && option.tier == chosen->tier;
    });
    return static_cast<std::size_t>(it - options.begin());
}

} // namespace toucan::policy
