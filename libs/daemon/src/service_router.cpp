#include "service_router.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucan::daemon {

namespace {

/// Half-life of the remote demand count. Without new demand the count decays, and credit expires
/// unrenewed.
constexpr std::chrono::seconds demand_half_life{1};
/// Maximum number of failure domains to request credit from in one round, nearest first.
constexpr std::size_t max_credit_domains = 3;
/// No credit is requested while the remote demand count is below this value.
constexpr double min_remote_demand = 0.5;
/// Weight of a new sample in the moving average of the service time.
constexpr double service_time_weight = 0.1;
/// Service time assumed before the first sample.
constexpr std::chrono::milliseconds initial_service_time{20};
/// Time to wait after a request for credit was not granted.
constexpr std::chrono::milliseconds credit_refusal_backoff{300};

} // namespace

service_router::service_router(environment env, std::uint64_t seed)
    : env_(std::move(env)), demand_updated_at_(env_.time->now()),
      service_time_ns_(static_cast<double>(std::chrono::nanoseconds(initial_service_time).count())),
      random_(seed)
{
}

steady_time service_router::shift_clock_now() const
{
    return now() + std::chrono::duration_cast<steady_time::duration>(env_.epoch_offset);
}

void service_router::update(const routing_view& view, const service_name& service)
{
    const auto found = view.services.find(service);
    if (found == view.services.end()) {
        return;
    }
    const absl::MutexLock lock(&mutex_);
    for (const auto& it : view_.local_backends) {
        const auto& locals = found->second.local_backends;
        if (std::none_of(locals.begin(), locals.end(),
                         [&](const auto& other) { return other.name == it.name; })) {
            choice_.remove(it.name);
        }
    }
    if (service_.retry_share != found->second.service->retry_share) {
        retries_ = operations::retry_budget(found->second.service->retry_share);
    }
    const bool interval_changed = service_.shift.interval != found->second.service->shift.interval;
    service_ = *found->second.service;
    view_ = found->second;
    view_.service = nullptr;
    local_region_ = view.local_region;
    for (const auto& it : view_.local_backends) {
        choice_.set_backend(it.name, it.slots);
        // A home reports zero admitted slots if the backend server does not answer.
        const bool no_admitted_slots =
            std::any_of(view.loads.begin(), view.loads.end(), [&](const auto& other) {
                return other.load.backend == it.name && other.load.admitted_slots == 0;
            });
        choice_.set_leaving(it.name, it.leaving || no_admitted_slots);
    }
    const auto cap = view.has_shift_share ? policy::cap_requests(service_) : 0;
    shift_share_ = {cap, view.shift_share_index, view.shift_share_count};
    if (interval_changed) {
        ramps_.clear();
    }
    // A shift ramp allows nothing in its first interval, so the ramps of all regions are created
    // before they are needed.
    for (const auto& it : view.config->topology.regions) {
        ramp(it).configure(shift_share_);
    }
    apply_load_reports(view);
}

void service_router::apply_load_reports(const routing_view& view)
{
    for (const auto& it : view.loads) {
        auto& last = last_load_reports_[it.load.backend];
        // Each report is applied only once, so that it ages and the confidence in it decays.
        if (it.reported_at > last) {
            last = it.reported_at;
            choice_.report(it.load.backend, it.load.admitted_slots, it.load.in_use + it.load.queued,
                           it.reported_at);
        }
    }
}

policy::shift_ramp& service_router::ramp(const region_name& region)
{
    const auto it = ramps_.find(region);
    if (it != ramps_.end()) {
        return it->second;
    }
    return ramps_
        .emplace(region,
                 policy::shift_ramp(shift_share_, service_.shift.interval, shift_clock_now()))
        .first->second;
}

std::uint64_t service_router::remaining_shift(const region_name& region, const region_name& client)
{
    constexpr std::uint64_t unlimited = 1U << 30U;
    if (client.empty() || client == region || !env_.enforce_shift) {
        return unlimited;
    }
    return ramp(region).remaining(shift_clock_now());
}

policy::route_input service_router::make_input(const rpc::forward_request& request,
                                               const std::vector<backend_server_name>& tried,
                                               std::chrono::nanoseconds time_left)
{
    policy::route_input input;
    input.goal = service_.goal;
    input.priority = service_.priority;
    input.client_region = request.client_region;
    input.entry_region = local_region_;
    input.time_left = time_left;
    input.service_time = std::chrono::nanoseconds(std::llround(service_time_ns_));
    input.draw = random_();
    if (const auto backend = choice_.choose(tried, random_(), now())) {
        const auto score = choice_.score(*backend, now()).value_or(1);
        // A score below 1 means that a slot is free. The load above 1 waits until slots are
        // released.
        const auto wait = std::max(0.0, score - 1) * service_time_ns_;
        input.local =
            policy::local_candidate{*backend, std::chrono::nanoseconds(std::llround(wait))};
    }
    input.local_remaining_shift = remaining_shift(local_region_, request.client_region);
    for (const auto& it : view_.remote_domains) {
        policy::remote_candidate candidate;
        candidate.failure_domain = it.name;
        candidate.region = it.region;
        candidate.round_trip = 2 * it.one_way_delay;
        candidate.credit = wallet_.best(service_.name, it.name, now());
        candidate.credit_slots = wallet_.available(service_.name, it.name, now());
        candidate.remaining_shift = remaining_shift(it.region, request.client_region);
        candidate.link_allows =
            it.region == local_region_ || env_.link_allows(it.region, request.request.body.size());
        input.remotes.push_back(std::move(candidate));
    }
    if (const auto it = ramps_.find(local_region_); it != ramps_.end()) {
        input.shift_renewal = it->second.until_renewal(shift_clock_now());
    }
    return input;
}

policy::route_decision service_router::decide(const rpc::forward_request& request,
                                              const std::vector<backend_server_name>& tried,
                                              std::chrono::nanoseconds time_left)
{
    const absl::MutexLock lock(&mutex_);
    const auto input = make_input(request, tried, time_left);
    auto decision = policy::decide_route(input);
    const bool wants_remote = !std::holds_alternative<policy::serve_local>(decision) ||
                              input.local->expected_wait > std::chrono::nanoseconds(0);
    if (wants_remote) {
        remote_demand_ += 1;
    }
    if (const auto* local = std::get_if<policy::serve_local>(&decision)) {
        if (local->shifted && env_.enforce_shift) {
            static_cast<void>(ramp(local_region_).try_spend(shift_clock_now()));
        }
        choice_.sent(local->backend);
    }
    else if (const auto* remote = std::get_if<policy::serve_remote>(&decision)) {
        static_cast<void>(wallet_.take(remote->credit, now()));
        if (remote->shifted && env_.enforce_shift) {
            static_cast<void>(ramp(remote->region).try_spend(shift_clock_now()));
        }
    }
    return decision;
}

void service_router::finish(const policy::route_decision& decision, bool maybe_ran,
                            std::chrono::nanoseconds elapsed)
{
    const absl::MutexLock lock(&mutex_);
    bool shifted = false;
    region_name region = local_region_;
    if (const auto* local = std::get_if<policy::serve_local>(&decision)) {
        choice_.finished(local->backend);
        shifted = local->shifted;
        if (maybe_ran) {
            service_time_ns_ +=
                service_time_weight * (static_cast<double>(elapsed.count()) - service_time_ns_);
        }
    }
    else if (const auto* remote = std::get_if<policy::serve_remote>(&decision)) {
        wallet_.release(remote->credit);
        shifted = remote->shifted;
        region = remote->region;
    }
    if (shifted && !maybe_ran && env_.enforce_shift) {
        ramp(region).refund(shift_clock_now());
    }
}

std::vector<credit_target> service_router::select_credit_targets()
{
    const absl::MutexLock lock(&mutex_);
    const auto at = now();
    wallet_.expire(at);
    absl::erase_if(grantors_, [&](const auto& it) { return it.second.expires_at < at; });
    const std::chrono::duration<double> elapsed = at - demand_updated_at_;
    demand_updated_at_ = at;
    remote_demand_ *= std::exp2(-elapsed / demand_half_life);
    std::vector<credit_target> targets;
    if (remote_demand_ < min_remote_demand) {
        return targets;
    }
    // Little's law: requests per half-life times the service time gives the number of slots in use.
    const auto slots = remote_demand_ * service_time_ns_ /
                       static_cast<double>(std::chrono::nanoseconds(demand_half_life).count());
    const auto demand = static_cast<std::uint32_t>(std::ceil(slots)) + 1;
    for (const auto& it : view_.remote_domains) {
        if (targets.size() == max_credit_domains) {
            break;
        }
        if (it.homes.empty() || it.spare_slots == 0) {
            continue;
        }
        const auto wanted = wallet_.slots_to_request(service_.name, it.name, demand, at);
        if (!wanted) {
            continue;
        }
        wallet_.mark_requested(service_.name, it.name, at);
        targets.push_back(
            {it.name, it.region, it.one_way_delay, it.homes[random_() % it.homes.size()], *wanted});
    }
    return targets;
}

void service_router::record_credit_reply(const credit_target& target,
                                         const policy::received_credit& credit,
                                         steady_time requested_at)
{
    const absl::MutexLock lock(&mutex_);
    const bool granted = credit.slots > 0;
    wallet_.mark_replied(service_.name, target.failure_domain,
                         granted ? now() : now() + credit_refusal_backoff);
    if (!granted) {
        return;
    }
    wallet_.add(credit, requested_at);
    grantors_[credit.id] = {target.home, now() + 2 * credit.lifetime};
    ++credits_received_;
}

std::optional<vm_address> service_router::grantor(std::uint64_t credit_id) const
{
    const absl::MutexLock lock(&mutex_);
    const auto it = grantors_.find(credit_id);
    return it == grantors_.end() ? std::nullopt : std::optional(it->second.address);
}

void service_router::drop_credit(const policy::held_credit& credit)
{
    const absl::MutexLock lock(&mutex_);
    wallet_.drop(credit);
}

std::uint64_t service_router::credits_received() const
{
    const absl::MutexLock lock(&mutex_);
    return credits_received_;
}

bool service_router::wait_for_credit(std::uint64_t seen, std::chrono::milliseconds limit)
{
    const absl::MutexLock lock(&mutex_);
    const auto received = [&] {
        return credits_received_ != seen;
    };
    return mutex_.AwaitWithTimeout(absl::Condition(&received), absl::FromChrono(limit));
}

void service_router::count_request()
{
    const absl::MutexLock lock(&mutex_);
    retries_.on_request();
}

bool service_router::try_spend_retry()
{
    const absl::MutexLock lock(&mutex_);
    return retries_.try_spend();
}

nlohmann::json service_router::state() const
{
    const absl::MutexLock lock(&mutex_);
    auto locals = nlohmann::json::object();
    for (const auto& it : view_.local_backends) {
        locals[it.name.text()] = {{"home", it.home.to_string()},
                                  {"leaving", it.leaving},
                                  {"load", choice_.score(it.name, now()).value_or(0)}};
    }
    auto remotes = nlohmann::json::object();
    for (const auto& it : view_.remote_domains) {
        remotes[it.name.text()] = {{"spare_slots", it.spare_slots},
                                   {"credit", wallet_.available(service_.name, it.name, now())}};
    }
    return {{"local", locals},
            {"remote", remotes},
            {"remote_demand", remote_demand_},
            {"retry_tokens", retries_.tokens()},
            {"service_time_ms", service_time_ns_ / 1e6}};
}

} // namespace toucan::daemon
