#include "toucan/policy/backend_choice.h"

#include <algorithm>
#include <vector>

namespace toucan::policy {

namespace {

/// Mixes the bits of a hash (finalizer of MurmurHash3).
std::uint64_t mix_bits(std::uint64_t it)
{
    it ^= it >> 33U;
    it *= 0xff51afd7ed558ccdULL;
    it ^= it >> 33U;
    it *= 0xc4ceb9fe1a85ec53ULL;
    return it ^ (it >> 33U);
}

bool has_capacity(const backend_option& it, double bound)
{
    return !it.full && it.load < bound * it.slots;
}

/// An option with its weight in the object's rendezvous order.
struct ranked_option {
    std::uint64_t weight = 0;
    std::size_t index = 0;
};

/// Eligible options of a tier in the object's rendezvous order.
std::vector<ranked_option> rank_tier(absl::Span<const backend_option> options, std::uint64_t object,
                                     std::uint32_t tier, bool last_resort)
{
    std::vector<ranked_option> all;
    for (std::size_t it = 0; it < options.size(); ++it) {
        const auto& option = options[it];
        if (!option.excluded && option.tier == tier && option.last_resort == last_resort) {
            all.push_back({mix_bits(option.id ^ mix_bits(object)), it});
        }
    }
    std::sort(all.begin(), all.end(),
              [](const auto& lhs, const auto& rhs) { return lhs.weight > rhs.weight; });
    return all;
}

std::optional<std::size_t> first_with_capacity(absl::Span<const backend_option> options,
                                               absl::Span<const ranked_option> order,
                                               absl::Span<const double> bounds)
{
    for (std::size_t n = 0; n < std::min(order.size(), bounds.size()); ++n) {
        if (has_capacity(options[order[n].index], bounds[n])) {
            return order[n].index;
        }
    }
    return std::nullopt;
}

/// Load bounds of the servers of a tier that are tried, in rendezvous order.
std::vector<double> tier_bounds(const load_bounds& bounds, bool first_tier, std::uint32_t spread)
{
    std::vector<double> all(spread, first_tier ? bounds.second_choice : bounds.other_tier);
    if (first_tier && spread > 0) {
        all.front() = bounds.first_choice;
    }
    return all;
}

} // namespace

std::optional<std::size_t> choose_backend(absl::Span<const backend_option> options,
                                          std::uint64_t object, const load_bounds& bounds,
                                          absl::Span<const std::uint32_t> spread)
{
    bool any_healthy = false;
    for (std::uint32_t tier = 0; tier < spread.size(); ++tier) {
        const auto order = rank_tier(options, object, tier, false);
        const auto tried_bounds = tier_bounds(bounds, !any_healthy, spread[tier]);
        if (const auto it = first_with_capacity(options, order, tried_bounds)) {
            return it;
        }
        any_healthy = any_healthy || !order.empty();
    }
    for (std::uint32_t tier = 0; tier < spread.size(); ++tier) {
        const auto order = rank_tier(options, object, tier, true);
        const auto count = any_healthy ? std::min(spread[tier], 1U) : spread[tier];
        if (const auto it =
                first_with_capacity(options, order, tier_bounds(bounds, !any_healthy, count))) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace toucan::policy
