#include "toucan/policy/region_plan.h"

#include "toucan/base/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace toucan::policy {

namespace {

/// Utilization up to which a region keeps its own requests. Above it, waiting times increase by
/// more than the delay to another region costs.
constexpr double local_utilization = 0.6;
/// Ratio of a region's utilization to the average that is permitted when average utilization is
/// high.
constexpr double utilization_tolerance = 1.05;
/// Share of the total capacity that must be lost from one update to the next for the target to be
/// applied at once.
constexpr double sudden_loss_threshold = 0.2;

/// Share of the bound by which a plan may change per second.
constexpr double change_per_s = 0.2;

/// Share used to rank a region without a share in the plan, so that overflow for one object always
/// goes to the same region.
constexpr double min_ranking_share = 1e-6;

double sum_of(absl::Span<const region_load> loads, double region_load::*field)
{
    return std::accumulate(loads.begin(), loads.end(), 0.0,
                           [&](double sum, const region_load& it) { return sum + it.*field; });
}

double share_in(absl::Span<const region_share> shares, const region_name& region)
{
    const auto it = std::find_if(shares.begin(), shares.end(),
                                 [&](const region_share& each) { return each.region == region; });
    return it == shares.end() ? 0 : it->share;
}

/// Hash mapped to (0, 1]; equal for equal input.
double uniform(std::uint64_t object, const region_name& region)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>((stable_hash(region.text(), object) >> 11U) + 1) * scale;
}

} // namespace

std::vector<region_share> target_shares(absl::Span<const region_load> loads,
                                        const region_name& source_region)
{
    const double capacity = sum_of(loads, &region_load::capacity);
    const double demand = sum_of(loads, &region_load::demand);
    if (capacity <= 0) {
        return {{source_region, 1}};
    }
    const double max_utilization =
        std::max(local_utilization, utilization_tolerance * demand / capacity);
    double excess_share = 0;
    double total_free_slots = 0;
    for (const auto& it : loads) {
        const double free_slots = max_utilization * it.capacity - it.demand;
        if (it.region == source_region && it.demand > 0) {
            excess_share = std::max(0.0, -free_slots / it.demand);
        }
        else if (it.region != source_region) {
            total_free_slots += std::max(0.0, free_slots);
        }
    }
    if (excess_share <= 0 || total_free_slots <= 0) {
        return {{source_region, 1}};
    }
    std::vector<region_share> shares{{source_region, 1 - excess_share}};
    for (const auto& it : loads) {
        const double free_slots = max_utilization * it.capacity - it.demand;
        if (it.region != source_region && free_slots > 0) {
            shares.push_back({it.region, excess_share * free_slots / total_free_slots});
        }
    }
    return shares;
}

double plan_change_per_s(double max_shift)
{
    return change_per_s * max_shift;
}

void region_plan::update(absl::Span<const region_load> loads, steady_time now)
{
    const auto target = target_shares(loads, source_region_);
    const double capacity = sum_of(loads, &region_load::capacity);
    const bool first_update = shares_.empty();
    const bool capacity_lost = capacity < (1 - sudden_loss_threshold) * capacity_;
    const double elapsed = std::chrono::duration<double>(now - updated_).count();
    capacity_ = capacity;
    updated_ = now;
    if (first_update || capacity_lost) {
        shares_.clear();
        for (const auto& it : loads) {
            shares_.push_back({it.region, share_in(target, it.region)});
        }
        return;
    }
    double distance = 0;
    for (const auto& it : loads) {
        distance += std::abs(share_in(target, it.region) - share_in(shares_, it.region)) / 2;
    }
    const double max_step = std::min(elapsed, 1.0) * max_change_per_s_;
    const double step_fraction = distance <= max_step ? 1.0 : max_step / distance;
    std::vector<region_share> new_shares;
    for (const auto& it : loads) {
        const double from = share_in(shares_, it.region);
        const double share = from + step_fraction * (share_in(target, it.region) - from);
        new_shares.push_back({it.region, share});
    }
    shares_ = std::move(new_shares);
}

std::vector<region_name> region_plan::order(std::uint64_t object,
                                            absl::Span<const region_name> allowed) const
{
    if (shares_.empty()) {
        return {source_region_};
    }
    struct weighted_region {
        double weight;
        const region_name* region;
    };
    std::vector<weighted_region> weighted;
    for (const auto& it : shares_) {
        if (allowed.empty() ||
            std::find(allowed.begin(), allowed.end(), it.region) != allowed.end()) {
            // Weighted rendezvous: greatest share / -ln(uniform) first.
            const double share = std::max(it.share, min_ranking_share);
            weighted.push_back(
                {share / -std::log(uniform(object, it.region) * (1 - 1e-12)), &it.region});
        }
    }
    std::sort(weighted.begin(), weighted.end(),
              [](const auto& lhs, const auto& rhs) { return lhs.weight > rhs.weight; });
    std::vector<region_name> regions;
    regions.reserve(weighted.size());
    for (const auto& it : weighted) {
        regions.push_back(*it.region);
    }
    return regions;
}

} // namespace toucan::policy
