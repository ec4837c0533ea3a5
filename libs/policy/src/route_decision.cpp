#include "toucan/policy/route_decision.h"

#include "toucan/policy/retry_after.h"

#include <algorithm>

namespace toucan::policy {

namespace {

/// For `headroom` a request leaves once the local wait exceeds this share of the round trip; for
/// `latency` once it exceeds the whole round trip.
constexpr double headroom_spill_share = 0.25;
/// The wait is an estimate, and a neighbour 2 ms away would receive requests for every small error
/// in it. A request therefore also stays while the wait is below this share of the service time.
constexpr double least_wait_share = 0.5;

bool is_shift(const route_input& input, const region_name& region)
{
    return !input.client_region.empty() && region != input.client_region;
}

/// Better remote candidate: shorter round trip, then more credit.
bool better(const remote_candidate& lhs, const remote_candidate& rhs)
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
        else if (is_shift(input, it.region) && it.shift_left == 0) {
            reason = std::max(reason, refusal_reason::shift_cap);
        }
        else if (it.region != input.entry_region && !it.link_allows) {
            reason = std::max(reason, refusal_reason::link_budget);
        }
        else if (it.round_trip + input.service_time > input.time_left) {
            reason = std::max(reason, refusal_reason::deadline);
        }
        else if (remote == nullptr || better(it, *remote)) {
            remote = &it;
        }
    }

    const bool local_shift = is_shift(input, input.entry_region);
    bool local_possible = input.local.has_value();
    if (local_possible && local_shift && input.local_shift_left == 0) {
        reason = std::max(reason, refusal_reason::shift_cap);
        local_possible = false;
    }
    if (local_possible && input.local->expected_wait + input.service_time > input.time_left) {
        reason = std::max(reason, refusal_reason::deadline);
        local_possible = false;
    }

    if (local_possible) {
        const double share = input.goal == steering::objective::latency ? 1 : headroom_spill_share;
        using fractional = std::chrono::duration<double>;
        const auto stay = [&] {
            const auto accepted =
                std::max(fractional(remote->round_trip) * share,
                         fractional(input.service_time) * least_wait_share * share);
            return fractional(input.local->expected_wait) <= accepted;
        };
        if (remote == nullptr || stay()) {
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
