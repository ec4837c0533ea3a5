#include "toucan/policy/route_decision.h"

#include "toucan/policy/retry_after.h"

#include <algorithm>

namespace toucan::policy {

namespace {

/// With the objective `headroom`, a request leaves once the local wait exceeds this share of the
/// round trip; with `latency`, once it exceeds the whole round trip.
constexpr double headroom_spill_share = 0.25;
/// A request also stays while the wait is at most this share of the service time, or
/// `headroom_spill_share` of that with the objective `headroom`. The wait is an estimate, and
/// without this minimum a neighboring failure domain 2 ms away would receive requests for every
/// small error in it.
constexpr double min_wait_share = 0.5;

bool is_shift(const route_input& input, const region_name& region)
{
    return !input.client_region.empty() && region != input.client_region;
}

/// Whether `lhs` is the better candidate: shorter round trip, then more credit.
bool is_better(const remote_candidate& lhs, const remote_candidate& rhs)
{
    return lhs.round_trip != rhs.round_trip ? lhs.round_trip < rhs.round_trip
                                            : lhs.credit_slots > rhs.credit_slots;
}

} // namespace

route_decision decide_route(const route_input& input)
{
    auto reason = refusal_reason::no_backend;
    const remote_candidate* remote = nullptr;
    for (const auto& it : input.remotes) {
        if (!it.credit) {
            reason = std::max(reason, refusal_reason::no_credit);
        }
        else if (is_shift(input, it.region) && it.remaining_shift == 0) {
            reason = std::max(reason, refusal_reason::shift_cap);
        }
        else if (it.region != input.entry_region && !it.link_allows) {
            reason = std::max(reason, refusal_reason::link_budget);
        }
        else if (it.round_trip + input.service_time > input.time_left) {
            reason = std::max(reason, refusal_reason::deadline);
        }
        else if (remote == nullptr || is_better(it, *remote)) {
            remote = &it;
        }
    }

    const bool local_shift = is_shift(input, input.entry_region);
    bool local_possible = input.local.has_value();
    if (local_possible && local_shift && input.local_remaining_shift == 0) {
        reason = std::max(reason, refusal_reason::shift_cap);
        local_possible = false;
    }
    if (local_possible && input.local->expected_wait + input.service_time > input.time_left) {
        reason = std::max(reason, refusal_reason::deadline);
        local_possible = false;
    }

    if (local_possible) {
        const double spill_share =
            input.goal == steering::objective::latency ? 1 : headroom_spill_share;
        using float_seconds = std::chrono::duration<double>;
        const auto local_wait_accepted = [&] {
            const auto max_wait =
                std::max(float_seconds(remote->round_trip) * spill_share,
                         float_seconds(input.service_time) * min_wait_share * spill_share);
            return float_seconds(input.local->expected_wait) <= max_wait;
        };
        if (remote == nullptr || local_wait_accepted()) {
            return serve_local{input.local->backend, local_shift};
        }
    }
    if (remote != nullptr) {
        return serve_remote{remote->region, *remote->credit, is_shift(input, remote->region),
                            remote->region != input.entry_region};
    }
    const retry_hint hint{reason, input.priority,
                          input.local ? input.local->expected_wait : std::chrono::nanoseconds(0),
                          input.shift_renewal, input.draw};
    return refuse{reason, retry_after(hint)};
}

} // namespace toucan::policy
