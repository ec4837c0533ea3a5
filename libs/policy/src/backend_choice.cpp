#include "toucan/policy/backend_choice.h"

#include <algorithm>
#include <vector>

namespace toucan::policy {

namespace {

/// Mixes two hashes (finalizer of MurmurHash3).
std::uint64_t mix(std::uint64_t it)
{
    it ^= it >> 33U;
    it *= 0xff51afd7ed558ccdULL;
    it ^= it >> 33U;
    it *= 0xc4ceb9fe1a85ec53ULL;
    return it ^ (it >> 33U);
}

bool has_room(const backend_option& it, double bound)
{
    return !it.full && it.load < bound * it.slots;
}

/// An option with its place in the rendezvous order of the object.
struct ranked_option {
    std::uint64_t weight = 0;
    std::size_t index = 0;
};

/// Options of a tier, in the order in which they are tried.
std::vector<ranked_option> ranked(absl::Span<const backend_option> options, std::uint64_t object,
                                  std::uint32_t tier, bool last_resort)
{
    std::vector<ranked_option> all;
    for (std::size_t it = 0; it < options.size(); ++it) {
        const auto& option = options[it];
        if (!option.excluded && option.tier == tier && option.last_resort == last_resort) {
            all.push_back({mix(option.id ^ mix(object)), it});
        }
    }
    std::sort(all.begin(), all.end(),
              [](const auto& lhs, const auto& rhs) { return lhs.weight > rhs.weight; });
    return all;
}

std::optional<std::size_t> first_with_room(absl::Span<const backend_option> options,
                                           absl::Span<const ranked_option> order,
                                           absl::Span<const double> bounds)
{
    for (std::size_t n = 0; n < std::min(order.size(), bounds.size()); ++n) {
        if (has_room(options[order[n].index], bounds[n])) {
            return order[n].index;
        }
    }
    return std::nullopt;
}

/// Bounds for the servers of a tier that are tried, in their order.
std::vector<double> tier_bounds(const load_bounds& bounds, bool first_tier, std::uint32_t spread)
{
    std::vector<double> all(spread, first_tier ? bounds.second : bounds.other_tier);
    if (first_tier && spread > 0) {
        all.front() = bounds.first;
    }
    return all;
}

} // namespace

std::optional<std::size_t> choose_backend(absl::Span<const backend_option> options,
                                          std::uint64_t object, const load_bounds& bounds,
                                          absl::Span<const std::uint32_t> spread)
{
    bool any_good = false;
    for (std::uint32_t tier = 0; tier < spread.size(); ++tier) {
        const auto order = ranked(options, object, tier, false);
        const auto tried = tier_bounds(bounds, !any_good, spread[tier]);
        if (const auto it = first_with_room(options, order, tried)) {
            return it;
        }
        any_good = any_good || !order.empty();
    }
    for (std::uint32_t tier = 0; tier < spread.size(); ++tier) {
        const auto order = ranked(options, object, tier, true);
        const auto tried = any_good ? std::min(spread[tier], 1U) : spread[tier];
        if (const auto it =
                first_with_room(options, order, tier_bounds(bounds, !any_good, tried))) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace toucan::policy
