#include "dispatcher.h"

#include "event_log.h"
#include "tunables.h"

#include "toucan/base/stable_hash.h"
#include "toucan/policy/backend_choice.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace toucan::edge {

namespace {

metrics::counter& outcome(metrics& all, const char* name)
{
    return all.count(fmt::format("toucan_edge_requests_total{{outcome=\"{}\"}}", name));
}

} // namespace

request_counters::request_counters(metrics& all)
    : completed(outcome(all, "completed")), not_run(outcome(all, "not_run")),
      unknown(outcome(all, "unknown")), caller_left(outcome(all, "caller_left")),
      no_route(outcome(all, "no_route")), resent(outcome(all, "resent"))
{
}

dispatcher::dispatcher(asio::io_context& loop, const clock& time, const settings& own,
                       const wire_names& names, fleet& fleet, metrics& metrics)
    : loop_(loop), time_(time), own_(own), names_(names), fleet_(fleet), metrics_(metrics),
      counters_(metrics), shift_(own.limits.max_shift)
{
}

dispatcher::service_state::service_state(const settings& own, std::uint32_t hash)
    : id(hash), retries({own.limits.retry_ratio, own.limits.retry_extra, own.limits.retry_window}),
      plan(own.region, tunables::planned_shift_share * own.limits.max_shift)
{
}

http_server::cancel dispatcher::handle(parsed_request request, http_server::respond respond)
{
    if (!config_) {
        log_request_event("refused", "id={} reason=\"no configuration yet\"",
                          find_header(request.request.headers, names_.attempt_id));
        respond({503, {{"Retry-After", "0.5"}}, {}});
        return {};
    }
    const auto* route = config_->find(request.host, request.request.path);
    if (route == nullptr) {
        log_request_event("no_route", "id={} host={} path={} config={}",
                          find_header(request.request.headers, names_.attempt_id), request.host,
                          request.request.path, config_->version());
        ++counters_.no_route;
        respond({404, {}, {}});
        return {};
    }
    const auto it =
        std::make_shared<call>(*this, std::move(request), config_, *route, std::move(respond));
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
    log_event("config", "version={} previous={} routes={}", config->version(),
              config_ ? config_->version() : 0, config->routes().size());
    config_ = std::move(config);
    create_states();
    drop_old_routes();
    fleet_.set_config(config_);
    pump_all();
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
        it = std::make_unique<service_state>(own_, short_hash(service.text()));
        it->retries.set_daemons(daemons_);
    }
    return *it;
}

std::shared_ptr<route_state> dispatcher::state(const route& it)
{
    auto& known = routes_[it.name];
    if (!known) {
        known = std::make_shared<route_state>(it, metrics_);
    }
    return known;
}

void dispatcher::create_states()
{
    for (const auto& route : config_->routes()) {
        for (const auto& part : route.parts) {
            state(part.service);
        }
    }
}

void dispatcher::drop_old_routes()
{
    absl::flat_hash_set<std::string> names;
    for (const auto& it : config_->routes()) {
        names.insert(it.name);
    }
    absl::erase_if(routes_, [&](const auto& it) { return !names.contains(it.first); });
}

service_name dispatcher::choose_service(const route& it, route_state& state)
{
    if (it.parts.size() == 1) {
        return it.parts.front().service;
    }
    std::vector<double> weights;
    weights.reserve(it.parts.size());
    for (const auto& part : it.parts) {
        weights.push_back(part.weight);
    }
    return it.parts[state.rotation.next(weights)].service;
}

fleet::server dispatcher::choose(const call& it)
{
    const auto now = time_.now();
    const auto& servers = fleet_.of(it.service());
    std::vector<policy::backend_option> options;
    options.reserve(servers.size());
    const auto& known = state(it.service());
    const auto regions = known.plan.order(it.object(), it.target().allowed_regions);
    for (const auto& server : servers) {
        policy::backend_option option;
        option.id = server->id;
        option.slots = std::max<std::uint32_t>(server->record.slots, 1);
        option.load = server->own_load + server->peer_load;
        option.full = server->own_load >= server->own_limit;
        option.tier = static_cast<std::uint32_t>(
            std::find(regions.begin(), regions.end(), server->region) - regions.begin());
        option.excluded =
            !fleet_.available(*server) || it.tried(server->id) || !it.allowed_in(server->region);
        option.last_resort = server->health.state(now) == policy::health_state::doubtful;
        options.push_back(option);
    }
    const policy::load_bounds bounds{known.waiting.empty() ? 1.0
                                                           : 1.0 + tunables::waiting_load_share,
                                     tunables::second_choice_fill, tunables::other_region_fill};
    std::vector<std::uint32_t> spread;
    // A server of another region has to warm up for the object: a short wait is the better choice.
    const bool waited = now - it.arrived() > tunables::overflow_wait_share * it.target().objective;
    const bool planned_usable = std::any_of(options.begin(), options.end(), [](const auto& option) {
        return option.tier == 0 && !option.excluded;
    });
    const bool overflow = waited || !planned_usable;
    const bool far_allowed = overflow && shift_.allows(now);
    for (std::size_t n = 0; n < regions.size(); ++n) {
        const bool planned = n == 0;
        const bool usable = planned || far_allowed || (overflow && regions[n] == own_.region);
        spread.push_back(!usable   ? 0
                         : planned ? tunables::planned_spread
                                   : tunables::overflow_spread);
    }
    const auto chosen = policy::choose_backend(options, it.object(), bounds, spread);
    return chosen ? servers[*chosen] : nullptr;
}

std::chrono::nanoseconds dispatcher::expected_wait(const service_name& service,
                                                   const queue_key& before)
{
    const auto& it = state(service);
    if (it.waiting.empty() || it.responses.empty()) {
        return std::chrono::nanoseconds(0);
    }
    const auto span = std::max<std::chrono::nanoseconds>(time_.now() - it.responses.front(),
                                                         tunables::throughput_window / 2);
    const auto ahead = static_cast<std::int64_t>(waiting_ahead(it, before));
    return span * (ahead + 1) / static_cast<std::int64_t>(it.responses.size());
}

void dispatcher::place(const std::shared_ptr<call>& it)
{
    if (!can_be_finished(*it)) {
        it->refuse("this daemon is stopping");
        return;
    }
    if (const auto to = choose(*it)) {
        it->dispatch(to);
        return;
    }
    const auto now = time_.now();
    const bool any = std::any_of(
        fleet_.of(it->service()).begin(), fleet_.of(it->service()).end(), [&](const auto& server) {
            return !server->removed && !server->record.leaving && it->allowed_in(server->region);
        });
    if (!any) {
        it->refuse("no backend server may take the request");
        return;
    }
    if (now + expected_wait(it->service(), it->key()) > it->latest_useful_start()) {
        it->set_late(true);
    }
    if (!can_be_served(*it)) {
        it->refuse("expected wait exceeds the time limit");
        return;
    }
    it->waiting_ = true;
    state(it->service()).waiting.emplace(it->key(), it);
}

std::size_t dispatcher::waiting_ahead(const service_state& service, const queue_key& key)
{
    const auto& queue = service.waiting;
    return static_cast<std::size_t>(std::distance(queue.begin(), queue.lower_bound(key)));
}

bool dispatcher::can_be_served(const call& it)
{
    return time_.now() + expected_wait(it.service(), it.key()) + it.expected_work() <=
           it.deadline();
}

bool dispatcher::can_be_finished(const call& it)
{
    if (end_ == steady_time::max()) {
        return true;
    }
    const auto longest = std::min<std::chrono::nanoseconds>(it.longest_work(), it.target().timeout);
    return time_.now() + longest <= end_;
}

void dispatcher::reconsider_waiting(call& it)
{
    const auto keep = it.shared_from_this();
    if (!can_be_finished(it)) {
        it.refuse("this daemon is stopping");
        return;
    }
    if (!it.key().late) {
        stop_waiting(it);
        it.set_late(true);
        it.waiting_ = true;
        state(it.service()).waiting.emplace(it.key(), keep);
    }
    if (!can_be_served(it)) {
        it.refuse("expected wait exceeds the time limit");
    }
}

void dispatcher::stop_waiting(call& it)
{
    if (it.waiting_) {
        it.waiting_ = false;
        state(it.service()).waiting.erase(it.key());
    }
}

void dispatcher::pump(const service_name& service)
{
    auto& queue = state(service).waiting;
    std::vector<std::shared_ptr<call>> first;
    for (const auto& [key, it] : queue) {
        first.push_back(it);
        if (first.size() >= tunables::calls_per_pump) {
            break;
        }
    }
    for (const auto& it : first) {
        if (!it->waiting_) {
            continue;
        }
        if (!can_be_finished(*it)) {
            it->refuse("this daemon is stopping");
            continue;
        }
        if (const auto to = choose(*it)) {
            stop_waiting(*it);
            it->dispatch(to);
        }
    }
}

void dispatcher::pump_all()
{
    for (const auto& [service, it] : services_) {
        if (!it->waiting.empty()) {
            // Later: this may run in the middle of another call's change.
            asio::post(loop_, [this, service = service] { pump(service); });
        }
    }
}

void dispatcher::response_finished(const service_name& service)
{
    auto& it = state(service);
    const auto now = time_.now();
    it.responses.push_back(now);
    while (now - it.responses.front() > tunables::throughput_window) {
        it.responses.pop_front();
    }
    if (it.waiting.empty()) {
        return;
    }
    asio::post(loop_, [this, service] { pump(service); });
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

std::vector<policy::region_load> dispatcher::region_loads(const service_name& service) const
{
    std::map<region_name, policy::region_load> by_region;
    std::map<region_name, double> domains;
    for (const auto& [domain, region] : own_.regions) {
        by_region[region].region = region;
        domains[region] += 1.0 / static_cast<double>(own_.regions.size());
    }
    double capacity = 0;
    for (const auto& it : fleet_.of(service)) {
        if (fleet_.available(*it) && !fleet_.cold(*it)) {
            by_region[it->region].capacity += it->record.slots;
            capacity += it->record.slots;
        }
    }
    std::vector<policy::region_load> loads;
    for (auto& [region, it] : by_region) {
        // Until demand is measured, callers are assumed to be spread over the failure domains.
        it.demand = tunables::assumed_fill * capacity * domains[region];
        loads.push_back(it);
    }
    return loads;
}

void dispatcher::update_plans(
    const std::function<double(const region_name&, std::uint32_t)>& peers_demand)
{
    const auto now = time_.now();
    if (!config_) {
        return;
    }
    for (const auto& [service, it] : services_) {
        auto loads = region_loads(service);
        double measured = 0;
        std::vector<double> demands;
        for (const auto& load : loads) {
            const double own = load.region == own_.region ? it->demand.slots(now) : 0;
            demands.push_back(own + peers_demand(load.region, it->id));
            measured += demands.back();
        }
        for (std::size_t n = 0; measured >= tunables::least_demand_slots && n < loads.size(); ++n) {
            loads[n].demand = demands[n];
        }
        it->plan.update(loads, now);
    }
}

bool dispatcher::region_full() const
{
    for (const auto& [service, it] : services_) {
        double slots = 0;
        double load = 0;
        for (const auto& server : fleet_.of(service)) {
            if (server->near && fleet_.available(*server)) {
                slots += server->record.slots;
                load += server->own_load + server->peer_load;
            }
        }
        if (!it->waiting.empty() || load > tunables::full_region_share * slots) {
            return true;
        }
    }
    return false;
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
