#include "dispatcher.h"

#include "event_log.h"
#include "tunables.h"

#include "toucan/base/stable_hash.h"
#include "toucan/policy/backend_choice.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace toucan::edge {

namespace {

constexpr milliseconds region_traffic_log_interval{2000};
/// Position of a request with which a server keeps an object as a whole or not at all.
constexpr double whole_object = 0.5;

bool is_healthy(const policy::backend_option& it)
{
    return !it.excluded && !it.last_resort && !it.lapsed;
}

metrics::counter& outcome(metrics& all, const char* name)
{
    return all.count(fmt::format("toucan_edge_requests_total{{outcome=\"{}\"}}", name));
}

} // namespace

request_counters::request_counters(metrics& all)
    : completed(outcome(all, "completed")), not_run(outcome(all, "not_run")),
      unknown(outcome(all, "unknown")), caller_left(outcome(all, "caller_left")),
      no_route(outcome(all, "no_route")), denied(outcome(all, "denied")),
      over_quota(outcome(all, "over_quota")), resent(outcome(all, "resent"))
{
}

dispatcher::dispatcher(asio::io_context& loop, const clock& time, const settings& daemon_settings,
                       const wire_names& names, fleet& fleet, metrics& metrics)
    : loop_(loop), time_(time), settings_(daemon_settings), names_(names), fleet_(fleet),
      metrics_(metrics), counters_(metrics), workspaces_(time, daemon_settings.limits, metrics),
      shift_(daemon_settings.limits.max_shift), region_traffic_(metrics),
      load_monitor_(time, fleet, names, metrics), stop_timer_(loop)
{
}

dispatcher::service_state::service_state(asio::io_context& loop, const settings& daemon_settings,
                                         std::uint32_t hash)
    : review_timer(loop), id(hash),
      retries({daemon_settings.limits.retry_ratio, daemon_settings.limits.retry_extra,
               daemon_settings.limits.retry_window}),
      plan(daemon_settings.region, policy::plan_change_per_s(daemon_settings.limits.max_shift)),
      throughput(tunables::throughput_window)
{
}

bool dispatcher::is_idempotent(const parsed_request& request) const
{
    const auto* route = config_ ? config_->find(request.host, request.request.path) : nullptr;
    return route != nullptr && route->kind == route_kind::idempotent;
}

access dispatcher::check(const parsed_request& request) const
{
    bool confirmed = true;
    if (settings_.limits.strict_revocation && config_age_) {
        const auto age = config_age_();
        confirmed = age && *age <= settings_.limits.revocation_time;
    }
    return check_access(*config_, names_, request.host, request.request.path,
                        request.request.headers, confirmed);
}

http_response dispatcher::refuse_without_config(const parsed_request& request) const
{
    log_request_event("refused", "id={} reason=\"no configuration yet\"",
                      find_header(request.request.headers, names_.attempt_id));
    return {503, {{"Retry-After", "0.5"}}, {}};
}

http_response dispatcher::refuse_while_stopping(const parsed_request& request)
{
    log_request_event("refused",
                      "id={} reason=\"daemon stops and has announced the end of the connection\"",
                      find_header(request.request.headers, names_.attempt_id));
    ++counters_.not_run;
    // Other daemons take it at once.
    return {503, {{"Retry-After", "0"}}, {}};
}

std::optional<http_response> dispatcher::check_head(const parsed_request& head)
{
    if (!config_) {
        return refuse_without_config(head);
    }
    const auto granted = check(head);
    if (granted.denial != access_denial::none) {
        return deny(head, granted.denial);
    }
    if (granted.caller != nullptr && !workspaces_.would_admit(*granted.caller)) {
        if (const auto wait = workspaces_.ask(*granted.caller)) {
            return refuse_over_quota(head, *granted.caller, *wait);
        }
        // A new round may admit it after all. It is asked for again when its body is complete.
        workspaces_.refund(*granted.caller, time_.now());
    }
    return std::nullopt;
}

http_response dispatcher::refuse_over_quota(const parsed_request& request, const workspace& caller,
                                            milliseconds wait)
{
    log_request_event("over_quota", "id={} workspace={} retry_after_ms={}",
                      find_header(request.request.headers, names_.attempt_id), caller.name.text(),
                      wait.count());
    ++counters_.over_quota;
    return {
        429, {{"Retry-After", fmt::format("{:.3f}", static_cast<double>(wait.count()) / 1e3)}}, {}};
}

http_response dispatcher::deny(const parsed_request& request, access_denial denial)
{
    const auto id = find_header(request.request.headers, names_.attempt_id);
    http_response response{status_of(denial), {}, {}};
    if (denial == access_denial::no_route) {
        log_request_event("no_route", "id={} host={} path={} config={}", id, request.host,
                          request.request.path, config_->version());
        ++counters_.no_route;
        return response;
    }
    log_request_event("denied", "id={} status={} reason=\"{}\" host={} config={}", id,
                      response.status, reason_of(denial), request.host, config_->version());
    ++counters_.denied;
    if (denial == access_denial::unknown_key) {
        response.headers.push_back({"WWW-Authenticate", names_.key_scheme});
    }
    else {
        response.headers.push_back({"Retry-After", "0.5"});
    }
    return response;
}

access_denial dispatcher::check_key(const call& it) const
{
    const auto& all = config_->workspaces();
    if (!it.key_digest_ || !all.requires_key()) {
        return access_denial::none;
    }
    const auto* found = all.find(*it.key_digest_);
    if (it.workspace_ == nullptr) {
        return found != nullptr && found->unreadable ? access_denial::unreadable_entry
                                                     : access_denial::none;
    }
    if (found == nullptr) {
        return all.incomplete() ? access_denial::unreadable_entry : access_denial::unknown_key;
    }
    // The request carries the name of the workspace to which its key belonged on arrival.
    const bool same = !found->unreadable && found->name == it.workspace_->name;
    return same ? access_denial::none : access_denial::unreadable_entry;
}

void dispatcher::apply_config_to_open_calls()
{
    // Copied because a call that ends is removed.
    const auto open = open_calls_;
    for (const auto& [number, weak] : open) {
        const auto it = weak.lock();
        if (it && !it->end_if_denied()) {
            it->update_regions();
        }
    }
}

http_server::cancel dispatcher::handle(parsed_request request, http_server::respond respond)
{
    if (!config_) {
        respond(refuse_without_config(request));
        return {};
    }
    const auto granted = check(request);
    if (granted.denial != access_denial::none) {
        respond(deny(request, granted.denial));
        return {};
    }
    const auto wait = granted.caller == nullptr ? std::nullopt : workspaces_.ask(*granted.caller);
    if (wait) {
        respond(refuse_over_quota(request, *granted.caller, *wait));
        return {};
    }
    const auto it =
        std::make_shared<call>(*this, std::move(request), config_, granted, std::move(respond));
    it->start();
    return [it] {
        it->cancel();
    };
}

void dispatcher::set_config(std::shared_ptr<const routing_config> config)
{
    if (config_ && config->version() <= config_->version()) {
        return;
    }
    log_event("config", "version={} previous={} routes={} workspaces={}", config->version(),
              config_ ? config_->version() : 0, config->routes().size(),
              config->workspaces().all().size());
    for (const auto& it : config->unreadable()) {
        log_event("config_entry_unusable", "version={} section={} name={} reason=\"{}\"",
                  config->version(), it.section, it.name, it.reason);
    }
    const auto previous = std::exchange(config_, std::move(config));
    if (previous) {
        for (const auto& [name, count] :
             previous->workspaces().keys_missing_in(config_->workspaces())) {
            log_event("keys_withdrawn", "workspace={} count={}", name.text(), count);
        }
        apply_config_to_open_calls();
    }
    workspaces_.set_config(config_->workspaces());
    create_service_states();
    remove_stale_routes();
    fleet_.set_config(config_);
    schedule_dispatch();
}

void dispatcher::set_daemons(std::size_t daemons)
{
    daemons_ = daemons;
    for (const auto& [name, it] : services_) {
        it->retries.set_daemons(daemons);
    }
}

dispatcher::service_state& dispatcher::state(const service_name& service)
{
    auto& it = services_[service];
    if (!it) {
        it = std::make_unique<service_state>(loop_, settings_, short_hash(service.text()));
        it->retries.set_daemons(daemons_);
    }
    return *it;
}

std::shared_ptr<route_state> dispatcher::state(const route& it)
{
    auto& entry = routes_[it.name];
    if (!entry) {
        entry = std::make_shared<route_state>(it, metrics_);
    }
    return entry;
}

void dispatcher::create_service_states()
{
    for (const auto& route : config_->routes()) {
        for (const auto& weighted : route.services) {
            state(weighted.service);
        }
    }
}

void dispatcher::remove_stale_routes()
{
    absl::flat_hash_set<std::string> names;
    for (const auto& it : config_->routes()) {
        names.insert(it.name);
    }
    absl::erase_if(routes_, [&](const auto& it) { return !names.contains(it.first); });
}

service_name dispatcher::choose_service(const route& it, route_state& state)
{
    if (it.services.size() == 1) {
        return it.services.front().service;
    }
    std::vector<double> weights;
    weights.reserve(it.services.size());
    for (const auto& weighted : it.services) {
        weights.push_back(weighted.weight);
    }
    return it.services[state.rotation.next(weights)].service;
}

policy::backend_option dispatcher::option_of(const call& it, backend_server& server,
                                             std::uint32_t tier, steady_time now)
{
    policy::backend_option option;
    option.id = server.key;
    option.slots = std::max<std::uint32_t>(server.record.slots, 1);
    option.load = fleet_.load(server);
    option.slowness = server.estimate.slowness(now);
    option.keeps_objects = keeps_slow(it, option.slowness, now);
    option.full = fleet_.full(server) || !fleet_.within_rate(server, now);
    option.tier = tier;
    option.excluded = !fleet_.available(server, now) || it.tried(server.id);
    option.lapsed = server.lapsed;
    option.last_resort = server.health.state(now) == policy::health_state::doubtful;
    option.fitness = server.health.fitness(now);
    return option;
}

bool dispatcher::keeps_slow(const call& it, double slowness, steady_time now)
{
    const auto mean = it.mean_service_time();
    const auto due = it.arrived() + it.matched_route().objective;
    const auto slow = std::chrono::duration<double>(mean) * slowness;
    // A request that is late at any speed stays too, because it is less work where its object is.
    return now + mean > due || slow <= due - now;
}

std::vector<policy::backend_option> dispatcher::options_in(call& it, const region_name& region,
                                                           std::uint32_t tier)
{
    auto* ranking = it.allowed_in(region) ? fleet_.ranking(it.service(), region) : nullptr;
    if (ranking == nullptr) {
        return {};
    }
    const auto now = time_.now();
    std::vector<policy::backend_option> options;
    const auto add = [&](std::uint64_t key) {
        options.push_back(option_of(it, *fleet_.find_key(key), tier, now));
    };
    if (it.has_object()) {
        const auto first = ranking->first(it.object());
        std::for_each(first.begin(), first.end(), add);
    }
    else {
        const auto drawn = ranking->sample(it.object());
        std::for_each(drawn.begin(), drawn.end(), add);
    }
    if (tier == 0 && it.has_object()) {
        pass_over_limited(it, options, now);
    }
    const auto healthy = std::count_if(options.begin(), options.end(), is_healthy);
    if (healthy >= tunables::planned_spread || options.size() == ranking->size()) {
        if (tier == 0 && it.has_object()) {
            pass_over_busy(it, options);
        }
        policy::exclude_lapsed(options);
        return options;
    }
    // Most of the first servers are out of use, so the ranking continues behind them.
    options.clear();
    const auto eligible = [&](std::uint64_t key) {
        auto& server = *fleet_.find_key(key);
        return fleet_.available(server, now) && !it.tried(server.id);
    };
    for (const auto key :
         ranking->first_eligible(it.object(), policy::server_ranking::kept_servers, eligible)) {
        add(key);
    }
    if (tier == 0 && it.has_object()) {
        pass_over_busy(it, options);
    }
    return options;
}

void dispatcher::pass_over_limited(call& it, std::vector<policy::backend_option>& ranked,
                                   steady_time now)
{
    const bool first_time = it.mark_ranked();
    for (auto& option : ranked) {
        if (option.excluded) {
            continue;
        }
        auto& rate = fleet_.find_key(option.id)->rate;
        if (!rate.limit()) {
            return;
        }
        if (first_time) {
            rate.record_offer(now);
        }
        if (rate.keeps(policy::unit_position(option.id, it.object()))) {
            return;
        }
        option.excluded = true;
    }
}

void dispatcher::pass_over_busy(const call& it, std::vector<policy::backend_option>& ranked) const
{
    double request = policy::unit_position(it.key().number, it.object());
    std::vector<std::size_t> passed;
    for (std::size_t n = 0; n < ranked.size() && passed.size() < tunables::max_busy_passed_over;
         ++n) {
        if (!is_healthy(ranked[n])) {
            continue;
        }
        const auto id = ranked[n].id;
        const auto position = policy::unit_position(id, it.object());
        const auto& kept = fleet_.find_key(id)->kept;
        if (kept.keeps(position, request)) {
            for (const auto before : passed) {
                ranked[before].excluded = true;
            }
            return;
        }
        passed.push_back(n);
        if (kept.divides(position)) {
            // The next server takes the rest as a whole: no object has more than two servers.
            request = whole_object;
        }
    }
}

fleet::server dispatcher::choose_server(call& it)
{
    const auto now = time_.now();
    const auto& service = state(it.service());
    const auto regions = service.plan.order(it.object(), it.regions().names());
    it.set_planned_region(regions.empty() ? settings_.region : regions.front());
    std::vector<policy::ranked_tier> tiers(regions.size());
    if (!regions.empty()) {
        tiers[0] = {options_in(it, regions[0], 0), tunables::planned_spread};
    }
    // A server of another region does not have the object cached. A short wait for a server of the
    // planned region costs less.
    const bool wait_exceeded =
        now - it.arrived() > tunables::overflow_wait_share * it.matched_route().objective;
    const bool planned_usable =
        !regions.empty() && std::any_of(tiers[0].options.begin(), tiers[0].options.end(),
                                        [](const auto& option) { return !option.excluded; });
    const bool overflow = wait_exceeded || !planned_usable;
    const bool other_region_allowed = overflow && shift_.allows(now);
    for (std::size_t n = 1; overflow && n < regions.size(); ++n) {
        if (other_region_allowed || regions[n] == settings_.region) {
            const auto tier = static_cast<std::uint32_t>(n);
            tiers[n] = {options_in(it, regions[n], tier), tunables::overflow_spread};
        }
    }
    const policy::load_bounds bounds{
        service.waiting.empty() ? 1.0 : 1.0 + tunables::queued_overcommit_share,
        tunables::max_second_choice_utilization, tunables::max_other_region_utilization};
    const auto* chosen = it.tried_.empty() ? policy::choose_ranked(tiers, bounds)
                                           : policy::choose_fast_first(tiers, bounds);
    return chosen == nullptr ? nullptr : fleet_.find_key(chosen->id);
}

std::chrono::nanoseconds dispatcher::expected_wait(const call& it)
{
    const auto& service = state(it.service());
    if (service.waiting.empty()) {
        return std::chrono::nanoseconds(0);
    }
    return service.throughput.expected_wait(service.waiting.ahead_of(it.key()).requests,
                                            it.precedence(), time_.now());
}

milliseconds dispatcher::retry_delay(const call& it, milliseconds longest)
{
    auto& service = state(it.service());
    const auto now = time_.now();
    return service.retry_times.next(expected_wait(it), service.throughput.interval(now),
                                    {tunables::min_retry_after, longest}, now);
}

void dispatcher::dispatch_or_queue(const std::shared_ptr<call>& it)
{
    if (!can_finish_before_stop(*it)) {
        it->refuse("daemon stops before the request could complete");
        return;
    }
    if (it->regions().none()) {
        it->refuse("route and workspace have no allowed region in common");
        return;
    }
    if (const auto to = choose_server(*it)) {
        it->dispatch(to);
        return;
    }
    const auto now = time_.now();
    const auto back_off = shortest_back_off(*it);
    if (!back_off) {
        it->refuse("no backend server accepts requests in an allowed region");
        return;
    }
    if (now + *back_off + it->mean_service_time() > it->deadline()) {
        it->refuse("all backend servers ask for a pause beyond the deadline");
        return;
    }
    if (now + expected_wait(*it) > it->latest_on_time_dispatch()) {
        it->set_late(true);
    }
    if (!can_meet_deadline(*it)) {
        it->refuse("expected wait and service time exceed the deadline");
        return;
    }
    add_to_queue(*it);
    const auto& waiting = state(it->service()).waiting;
    if (waiting.ahead_of(it->key()).requests + 1 < waiting.size()) {
        schedule_review(it->service());
    }
}

std::optional<std::chrono::nanoseconds> dispatcher::shortest_back_off(const call& it) const
{
    std::optional<std::chrono::nanoseconds> shortest;
    for (const auto& server : fleet_.of(it.service())) {
        if (server->removed || server->replaced() || server->leaving() ||
            !it.allowed_in(server->region)) {
            continue;
        }
        const auto left = fleet_.back_off_left(*server);
        shortest = shortest ? std::min(*shortest, left) : left;
        if (left == std::chrono::nanoseconds(0)) {
            break;
        }
    }
    return shortest;
}

bool dispatcher::can_meet_deadline(const call& it)
{
    return time_.now() + expected_wait(it) + it.mean_service_time() <= it.deadline();
}

void dispatcher::set_stop_schedule(const policy::stop_schedule& it)
{
    stop_ = it;
    for (const auto& [service, state] : services_) {
        for (const auto& [number, waiting] : state->waiting_calls) {
            waiting->arm_timer();
        }
    }
    stop_timer_.expires_at(it.end);
    stop_timer_.async_wait([this](error_code ec) {
        if (!ec) {
            answer_open_calls();
        }
    });
}

void dispatcher::answer_open_calls()
{
    for (const auto& [number, open] : std::exchange(open_calls_, {})) {
        if (const auto it = open.lock()) {
            it->end_with_process();
        }
    }
}

steady_time dispatcher::latest_dispatch(const call& it) const
{
    if (!stop_) {
        return steady_time::max();
    }
    return stop_->latest_dispatch(
        it.idempotent(), it.deadline(),
        std::min<std::chrono::nanoseconds>(it.high_service_time(), it.matched_route().timeout));
}

bool dispatcher::can_finish_before_stop(const call& it) const
{
    return time_.now() <= latest_dispatch(it);
}

void dispatcher::reevaluate_queued(call& it)
{
    const auto keep = it.shared_from_this();
    if (!can_finish_before_stop(it)) {
        it.refuse("daemon stops before the request could complete");
        return;
    }
    if (!it.key().late) {
        remove_from_queue(it);
        it.set_late(true);
        add_to_queue(it);
    }
    if (!can_meet_deadline(it)) {
        it.refuse("expected wait and service time exceed the deadline");
    }
}

void dispatcher::add_to_queue(call& it)
{
    it.waiting_ = true;
    it.waited_ = true;
    auto& service = state(it.service());
    service.waiting.add(it.key());
    service.waiting_calls.emplace(it.key().number, it.shared_from_this());
}

void dispatcher::remove_from_queue(call& it)
{
    if (it.waiting_) {
        it.waiting_ = false;
        auto& service = state(it.service());
        service.waiting.remove(it.key().number);
        service.waiting_calls.erase(it.key().number);
    }
}

void dispatcher::take_from_queue(call& it)
{
    it.waiting_ = false;
    auto& service = state(it.service());
    service.waiting.take(it.key().number);
    service.waiting_calls.erase(it.key().number);
}

void dispatcher::schedule_review(const service_name& service)
{
    auto& it = state(service);
    if (std::exchange(it.review_scheduled, true)) {
        return;
    }
    it.review_timer.expires_after(tunables::queue_review_interval);
    it.review_timer.async_wait([this, service](error_code ec) {
        if (!ec) {
            state(service).review_scheduled = false;
            refuse_displaced(service);
        }
    });
}

void dispatcher::refuse_displaced(const service_name& service)
{
    auto& queue = state(service);
    const auto now = time_.now();
    std::size_t ahead = 0;
    for (const auto number : queue.waiting.first(queue.waiting.size())) {
        const auto found = queue.waiting_calls.find(number);
        if (found == queue.waiting_calls.end()) {
            continue;
        }
        const auto it = found->second;
        const auto wait = queue.throughput.expected_wait(ahead, it->precedence(), now);
        if (now + wait + it->mean_service_time() > it->deadline()) {
            it->refuse("requests of a higher precedence arrived");
        }
        else {
            ++ahead;
        }
    }
}

void dispatcher::dispatch_queued(const service_name& service)
{
    const auto& queue = state(service);
    std::vector<std::shared_ptr<call>> head;
    for (const auto number : queue.waiting.first(tunables::max_calls_per_dispatch_pass)) {
        head.push_back(queue.waiting_calls.at(number));
    }
    for (const auto& it : head) {
        if (!it->waiting_) {
            continue;
        }
        if (!can_finish_before_stop(*it)) {
            it->refuse("daemon stops before the request could complete");
            continue;
        }
        if (const auto to = choose_server(*it)) {
            take_from_queue(*it);
            it->dispatch(to);
        }
    }
}

void dispatcher::schedule_dispatch()
{
    for (const auto& [service, it] : services_) {
        if (!it->waiting.empty()) {
            // Posted because this function may run while a call is being changed.
            asio::post(loop_, [this, service = service] { dispatch_queued(service); });
        }
    }
}

void dispatcher::record_slot_release(const call& it)
{
    auto& service = state(it.service());
    service.throughput.record_release(it.precedence(), it.waited_, time_.now());
    if (service.waiting.empty()) {
        return;
    }
    asio::post(loop_, [this, name = it.service()] { dispatch_queued(name); });
}

std::vector<policy::service_demand> dispatcher::demands() const
{
    const auto now = time_.now();
    std::vector<policy::service_demand> all;
    for (const auto& [service, it] : services_) {
        all.push_back({it->id, it->demand.slots(now)});
    }
    return all;
}

double dispatcher::usable_slots(const service_state& service, const backend_server& it)
{
    const double slots = it.record.slots;
    const double mean = std::chrono::duration<double>(service.service_time.mean()).count();
    const auto limit = it.rate.limit();
    return limit && mean > 0 ? std::min(slots, *limit * mean) : slots;
}

std::vector<policy::region_load> dispatcher::region_loads(const service_name& service)
{
    const auto now = time_.now();
    std::map<region_name, policy::region_load> by_region;
    std::map<region_name, double> domains;
    for (const auto& [domain, region] : settings_.regions) {
        by_region[region].region = region;
        domains[region] += 1.0 / static_cast<double>(settings_.regions.size());
    }
    double capacity = 0;
    for (const auto& it : fleet_.of(service)) {
        if (!fleet_.cold(*it) && fleet_.available(*it, now)) {
            const double slots = usable_slots(state(service), *it);
            by_region[it->region].capacity += slots;
            capacity += slots;
        }
    }
    std::vector<policy::region_load> loads;
    for (auto& [region, it] : by_region) {
        // Until demand is measured, callers are assumed to be spread evenly over the failure
        // domains.
        it.demand = tunables::assumed_utilization * capacity * domains[region];
        loads.push_back(it);
    }
    return loads;
}

void dispatcher::update_plans(
    const std::function<double(const region_name&, std::uint32_t)>& peers_demand)
{
    const auto now = time_.now();
    log_region_traffic(now);
    load_monitor_.log_when_due();
    fleet_.update_kept_shares();
    if (!config_) {
        return;
    }
    region_overloaded_ = false;
    for (const auto& [service, it] : services_) {
        load_monitor_.sample(service);
        region_overloaded_ = region_overloaded_ || overloaded_in_region(service);
        auto loads = region_loads(service);
        double measured = 0;
        std::vector<double> demands;
        for (const auto& load : loads) {
            const double own = load.region == settings_.region ? it->demand.slots(now) : 0;
            demands.push_back(own + peers_demand(load.region, it->id));
            measured += demands.back();
        }
        for (std::size_t n = 0; measured >= tunables::min_measured_demand_slots && n < loads.size();
             ++n) {
            loads[n].demand = demands[n];
        }
        it->plan.update(loads, now);
    }
}

void dispatcher::log_region_traffic(steady_time now)
{
    if (now - region_traffic_logged_at_ < region_traffic_log_interval) {
        return;
    }
    region_traffic_logged_at_ = now;
    if (const auto recent = region_traffic_.take_recent(); !recent.empty()) {
        log_event("regions", "{}", recent);
    }
}

bool dispatcher::region_overloaded() const
{
    return region_overloaded_ ||
           std::any_of(services_.begin(), services_.end(),
                       [](const auto& it) { return !it.second->waiting.empty(); });
}

bool dispatcher::overloaded_in_region(const service_name& service)
{
    const auto now = time_.now();
    double slots = 0;
    double load = 0;
    for (const auto& it : fleet_.of(service)) {
        if (it->in_local_region && fleet_.available(*it, now)) {
            slots += usable_slots(state(service), *it);
            load += it->local_load + it->peer_load;
        }
    }
    return load > tunables::overloaded_region_utilization * slots;
}

std::size_t dispatcher::waiting() const
{
    std::size_t n = 0;
    for (const auto& [service, it] : services_) {
        n += it->waiting.size();
    }
    return n;
}

} // namespace toucan::edge
