#include "simulation.h"

#include <algorithm>
#include <cmath>

namespace toucan::bench {

namespace {

using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr seconds run_time(30);
constexpr seconds event_time(10);
constexpr milliseconds tick_time(10);
constexpr double request_bytes = 2'000;
constexpr double response_bytes = 64'000;

} // namespace

simulation::simulation(const deployment& bench_deployment, const scenario& bench_scenario)
    : deployment_(bench_deployment), scenario_(bench_scenario), random_(bench_scenario.seed)
{
    const auto& domains = deployment_.topology.failure_domains;
    const auto& regions = deployment_.topology.regions;
    for (std::size_t service = 0; service < deployment_.services.size(); ++service) {
        const auto& model = deployment_.services[service];
        std::vector<std::uint32_t> in_region(regions.size(), 0);
        const auto domain_of = [&](const auto& it) {
            return static_cast<std::size_t>(
                std::find_if(domains.begin(), domains.end(),
                             [&](const auto& other) { return other.name == it.failure_domain; }) -
                domains.begin());
        };
        for (const auto& it : model.service.upstreams) {
            ++in_region[region_of(domain_of(it))];
        }
        std::vector<std::uint32_t> number(regions.size(), 0);
        for (const auto& it : model.service.upstreams) {
            const auto domain = domain_of(it);
            const auto region = region_of(domain);
            auto settings = policy::settings_for(model.service, it.slots);
            settings.service_time = model.mean_service_time;
            const auto cap = policy::cap_requests(model.service);
            const policy::shift_share share =
                scenario_.cap_divided
                    ? policy::shift_share{cap, number[region]++, in_region[region]}
                    : policy::shift_share{cap, 0, 1};
            servers_.push_back({service,
                                domain,
                                it.name,
                                it.slots,
                                policy::slot_queue(settings, now_, false),
                                policy::credit_ledger({}, 1, now_, false),
                                policy::shift_ramp(share, model.service.shift.interval, now_),
                                0,
                                {},
                                {}});
        }
    }
    std::uint32_t all_entry_vms = 0;
    for (const auto& it : domains) {
        all_entry_vms += it.entry_vms;
    }
    std::uint32_t vm_index = 0;
    for (std::size_t domain = 0; domain < domains.size(); ++domain) {
        for (std::uint32_t n = 0; n < domains[domain].entry_vms; ++n, ++vm_index) {
            daemon it;
            it.domain = domain;
            for (std::size_t service = 0; service < deployment_.services.size(); ++service) {
                policy::local_backend_choice choice;
                for (const auto& other : servers_) {
                    if (other.service == service && other.domain == domain) {
                        choice.set_backend(other.name, other.slots);
                    }
                }
                it.choices.push_back(choice);
                it.shifts.emplace_back();
                const auto& model = deployment_.services[service].service;
                for (std::size_t region = 0; region < regions.size(); ++region) {
                    std::uint32_t vms_before = 0;
                    std::uint32_t vms_in_region = 0;
                    for (std::size_t other = 0; other < domains.size(); ++other) {
                        if (region_of(other) == region) {
                            vms_in_region += domains[other].entry_vms;
                            vms_before += other < domain ? domains[other].entry_vms : 0;
                        }
                    }
                    const auto cap = policy::cap_requests(model);
                    const policy::shift_share share =
                        scenario_.cap_divided ? policy::shift_share{cap, vm_index - vms_before,
                                                                    all_entry_vms - vms_in_region}
                                              : policy::shift_share{cap, 0, 1};
                    it.shifts.back().emplace_back(share, model.shift.interval, now_);
                }
            }
            for (const auto& region : regions) {
                it.links.emplace_back(
                    policy::link_share(deployment_.topology, regions[region_of(domain)], region),
                    now_);
            }
            it.tokens.resize(deployment_.services.size());
            it.demand.resize(deployment_.services.size(), 0);
            it.departures.resize(deployment_.services.size(), 0);
            daemons_.push_back(std::move(it));
        }
    }
    offered_.resize(deployment_.services.size(), 0);
    refused_.resize(deployment_.services.size(), 0);
    shifts_.assign(deployment_.services.size(),
                   std::vector<std::array<std::uint64_t, 2>>(regions.size()));
    bytes_.assign(regions.size(), std::vector<double>(regions.size(), 0));
}

result simulation::run()
{
    for (std::size_t service = 0; service < deployment_.services.size(); ++service) {
        for (std::size_t region = 0; region < deployment_.topology.regions.size(); ++region) {
            push(nanoseconds(0), event_type::arrival, service, region);
        }
    }
    push(nanoseconds(0), event_type::tick, 0);
    if (scenario_.event == event_kind::region_lost) {
        push(event_time, event_type::region_lost, 0);
    }
    while (!events_.empty()) {
        const auto it = events_.top();
        events_.pop();
        now_ = it.at;
        handle(it);
    }
    std::sort(latencies_.begin(), latencies_.end());
    const auto percentile = [&](double share) {
        const auto last = static_cast<double>(latencies_.size() - 1);
        return latencies_.empty() ? 0.0 : latencies_[static_cast<std::size_t>(share * last)];
    };
    result_.p50_ms = percentile(0.5);
    result_.p99_ms = percentile(0.99);
    const auto refused_share = [&](std::size_t service) {
        return offered_[service] > 0
                   ? static_cast<double>(refused_[service]) / static_cast<double>(offered_[service])
                   : 0;
    };
    result_.refused_urgent = refused_share(0);
    result_.refused_deferrable = refused_share(1);
    return result_;
}

void simulation::push(nanoseconds in, event_type type, std::size_t first, std::size_t second)
{
    events_.push({now_ + in, next_event_++, type, first, second});
}

void simulation::handle(const event& it)
{
    switch (it.type) {
    case event_type::arrival:
        return handle_arrival(it.first, it.second);
    case event_type::at_server:
        return handle_at_server(it.first);
    case event_type::completed:
        return handle_completion(it.first);
    case event_type::reply:
        return handle_reply(it.first);
    case event_type::credit_request:
        return handle_credit_request(it.first);
    case event_type::credit_reply: {
        const auto& pending_credit = credit_requests_[it.first];
        auto& wallet = daemons_[pending_credit.entry].wallet;
        const auto& from = servers_[pending_credit.target];
        const auto& domain = deployment_.topology.failure_domains[from.domain].name;
        const auto& service = deployment_.services[from.service].service.name;
        if (pending_credit.grant.slots > 0) {
            const auto one_way = delay(daemons_[pending_credit.entry].domain, from.domain);
            wallet.add({pending_credit.grant.id, service, domain, from.name,
                        pending_credit.grant.slots, pending_credit.grant.lifetime,
                        std::chrono::duration_cast<milliseconds>(one_way)},
                       pending_credit.requested_at);
            wallet.mark_replied(service, domain, now_);
        }
        else {
            wallet.mark_replied(service, domain, now_ + milliseconds(200));
        }
        return;
    }
    case event_type::tick:
        return handle_tick();
    case event_type::region_lost:
        region_lost_ = true;
        return;
    }
}

double simulation::rate(std::size_t service, std::size_t region) const
{
    double load = scenario_.load;
    if (scenario_.event == event_kind::surge && (region != 0 || now_ < start_time_ + event_time)) {
        load = 0.6;
    }
    // The clients of a region generate load in proportion to its slots.
    double slots = 0;
    double all = 0;
    for (const auto& it : servers_) {
        if (it.service == service) {
            slots += region_of(it.domain) == region ? it.slots : 0;
            all += it.slots;
        }
    }
    return deployment_.services[service].service.rate * load * slots / all;
}

void simulation::handle_arrival(std::size_t service, std::size_t region)
{
    std::exponential_distribution<double> gap(rate(service, region));
    const nanoseconds next(static_cast<std::int64_t>(gap(random_) * 1e9));
    if (now_ + next < start_time_ + run_time) {
        push(next, event_type::arrival, service, region);
    }
    std::vector<std::size_t> entries;
    for (std::size_t it = 0; it < daemons_.size(); ++it) {
        const auto in = region_of(daemons_[it].domain);
        if (is_lost(region) ? in != region : in == region) {
            entries.push_back(it);
        }
    }
    request it{};
    it.service = service;
    it.client_region = region;
    it.entry = entries[random_() % entries.size()];
    it.arrived = now_;
    it.deadline = now_ + deployment_.services[service].service.default_deadline;
    requests_.push_back(it);
    ++offered_[service];
    ++open_requests_;
    route(requests_.size() - 1);
}

nanoseconds simulation::delay(std::size_t lhs, std::size_t rhs) const
{
    if (lhs == rhs) {
        return std::chrono::microseconds(200);
    }
    return region_of(lhs) == region_of(rhs) ? milliseconds(1) : milliseconds(55);
}

std::size_t simulation::server_named(const backend_server_name& name) const
{
    return static_cast<std::size_t>(std::find_if(servers_.begin(), servers_.end(),
                                                 [&](const auto& it) { return it.name == name; }) -
                                    servers_.begin());
}

void simulation::route(std::size_t id)
{
    auto& it = requests_[id];
    auto& entry = daemons_[it.entry];
    const auto& model = deployment_.services[it.service];
    auto& choice = entry.choices[it.service];
    const auto region = region_of(entry.domain);

    std::optional<backend_server_name> local;
    auto& tokens = entry.tokens[it.service];
    if (scenario_.choice == choice_kind::idle_tokens && !tokens.empty() && it.tried.empty()) {
        local = servers_[tokens.front()].name;
        tokens.pop_front();
    }
    else if (scenario_.choice == choice_kind::reported) {
        const server* best = nullptr;
        std::vector<const server*> candidates;
        for (const auto& other : servers_) {
            const bool tried =
                std::find(it.tried.begin(), it.tried.end(), other.name) != it.tried.end();
            if (other.service == it.service && other.domain == entry.domain && !tried) {
                candidates.push_back(&other);
            }
        }
        std::shuffle(candidates.begin(), candidates.end(), random_);
        candidates.resize(std::min<std::size_t>(candidates.size(), 2));
        const auto load = [](const server& other) {
            return other.history.empty() ? 0.0
                                         : other.history.front() / static_cast<double>(other.slots);
        };
        for (const auto* other : candidates) {
            best = best == nullptr || load(*other) < load(*best) ? other : best;
        }
        if (best != nullptr) {
            local = best->name;
        }
    }
    else if (scenario_.choice == choice_kind::power_of_two) {
        local = choice.choose(it.tried, random_(), now_);
    }
    else {
        // Without load reports and requests in progress, the choice is random in proportion to the
        // configured slots.
        policy::local_backend_choice by_slots;
        for (const auto& other : servers_) {
            if (other.service == it.service && other.domain == entry.domain) {
                by_slots.set_backend(other.name, other.slots);
            }
        }
        local = by_slots.choose(it.tried, random_(), now_);
    }

    policy::route_input input;
    input.goal = model.service.goal;
    input.priority = model.service.priority;
    input.client_region = deployment_.topology.regions[it.client_region];
    input.entry_region = deployment_.topology.regions[region];
    input.local_remaining_shift = 1;
    input.time_left = it.deadline - now_;
    input.service_time = model.mean_service_time;
    input.draw = id;
    if (local && it.local_tries < 2) {
        const double excess_load = std::max(0.0, choice.score(*local, now_).value_or(0) - 1);
        input.local = policy::local_candidate{
            *local, nanoseconds(static_cast<std::int64_t>(
                        excess_load * static_cast<double>(model.mean_service_time.count())))};
    }
    if (scenario_.cross != cross_kind::none && it.remote_tries < 2) {
        for (std::size_t domain = 0; domain < deployment_.topology.failure_domains.size();
             ++domain) {
            const auto to = region_of(domain);
            if (domain == entry.domain || is_lost(to)) {
                continue;
            }
            policy::remote_candidate other;
            std::vector<std::uint32_t> spare_slots;
            std::vector<const server*> spare_servers;
            other.failure_domain = deployment_.topology.failure_domains[domain].name;
            other.region = deployment_.topology.regions[to];
            other.round_trip = 2 * delay(entry.domain, domain);
            other.remaining_shift = entry.shifts[it.service][to].remaining(now_);
            other.link_allows =
                to == region ||
                entry.links[to].allows(static_cast<std::uint64_t>(request_bytes), now_);
            if (scenario_.cross == cross_kind::credit) {
                other.credit = entry.wallet.best(model.service.name, other.failure_domain, now_);
                other.credit_slots =
                    entry.wallet.available(model.service.name, other.failure_domain, now_);
            }
            else {
                // Uses the reported spare slots, which are not reserved for this daemon.
                for (const auto& from : servers_) {
                    const auto load = from.history.empty() ? 0 : from.history.front();
                    const auto admitted = from.queue.admitted_slots(now_);
                    if (from.service == it.service && from.domain == domain && load < admitted) {
                        other.credit_slots += admitted - load;
                        spare_slots.push_back(admitted - load);
                        spare_servers.push_back(&from);
                    }
                }
            }
            if (!spare_servers.empty()) {
                std::discrete_distribution<std::size_t> pick(spare_slots.begin(),
                                                             spare_slots.end());
                other.credit = policy::held_credit{0, other.failure_domain,
                                                   spare_servers[pick(random_)]->name};
            }
            input.remotes.push_back(other);
        }
    }
    const auto decision = policy::decide_route(input);
    // In the benchmark, a request counts as leaving if it would have left with unlimited credit.
    const bool wants_to_leave =
        !input.local || input.local->expected_wait > model.mean_service_time / 2;
    entry.departures[it.service] += wants_to_leave ? 1U : 0U;
    if (const auto* local_decision = std::get_if<policy::serve_local>(&decision)) {
        it.credit = {};
        ++it.local_tries;
        it.shifted = local_decision->shifted;
        choice.sent(local_decision->backend);
        send(id, server_named(local_decision->backend));
    }
    else if (const auto* remote_decision = std::get_if<policy::serve_remote>(&decision)) {
        it.credit = remote_decision->credit;
        ++it.remote_tries;
        it.shifted = remote_decision->shifted;
        const auto target = server_named(remote_decision->credit.backend);
        const auto to = region_of(servers_[target].domain);
        if (remote_decision->credit.id != 0) {
            entry.wallet.take(remote_decision->credit, now_);
        }
        if (it.shifted) {
            entry.shifts[it.service][to].try_spend(now_);
        }
        if (remote_decision->crosses_link) {
            entry.links[to].try_spend(static_cast<std::uint64_t>(request_bytes), now_);
            bytes_[region][to] += request_bytes;
        }
        send(id, target);
    }
    else {
        finish(id, false);
    }
}

void simulation::send(std::size_t id, std::size_t target)
{
    requests_[id].target = target;
    requests_[id].refused = false;
    push(delay(daemons_[requests_[id].entry].domain, servers_[target].domain),
         event_type::at_server, id);
}

void simulation::update_reservation(server& it) const
{
    it.queue.reserve(scenario_.reserve ? it.ledger.unused(now_) : 0);
}

void simulation::handle_at_server(std::size_t id)
{
    auto& it = requests_[id];
    auto& to = servers_[it.target];
    const auto region = region_of(to.domain);
    if (is_lost(region)) {
        return refuse(id);
    }
    if (it.shifted) {
        if (!to.shift.try_spend(now_)) {
            return refuse(id);
        }
        ++shifts_[it.service][region][0];
    }
    if (!scenario_.home_queue) {
        to.fifo.push_back(id);
        if (to.running < to.queue.admitted_slots(now_)) {
            const auto next = to.fifo.front();
            to.fifo.pop_front();
            start(next);
        }
        return;
    }
    if (it.credit.id != 0) {
        const auto check = to.ledger.accept(it.credit.id, now_);
        update_reservation(to);
        if (check != policy::credit_check::accepted) {
            return refuse(id);
        }
    }
    const auto priority = deployment_.services[it.service].service.priority;
    const auto answer = to.queue.admit({id, priority, it.arrived, it.deadline, it.credit.id}, now_);
    apply(answer.others);
    if (std::holds_alternative<policy::admitted>(answer.decision)) {
        start(id);
    }
    else if (std::holds_alternative<policy::refuse>(answer.decision)) {
        if (it.credit.id != 0) {
            servers_[it.target].ledger.release(it.credit.id);
        }
        refuse(id);
    }
}

void simulation::start(std::size_t id)
{
    auto& it = requests_[id];
    ++servers_[it.target].running;
    it.dispatched = now_;
    const auto mean = deployment_.services[it.service].mean_service_time;
    // Half of the service time is fixed and half is exponentially distributed.
    std::exponential_distribution<double> part(1);
    push(mean / 2 + nanoseconds(static_cast<std::int64_t>(part(random_) *
                                                          static_cast<double>(mean.count()) / 2)),
         event_type::completed, id);
}

void simulation::handle_completion(std::size_t id)
{
    auto& it = requests_[id];
    auto& from = servers_[it.target];
    --from.running;
    const auto server_region = region_of(from.domain);
    if (is_lost(server_region)) {
        return refuse(id);
    }
    const auto entry_region = region_of(daemons_[it.entry].domain);
    if (server_region != entry_region) {
        bytes_[server_region][entry_region] += response_bytes;
    }
    if (scenario_.home_queue) {
        if (it.credit.id != 0) {
            from.ledger.release(it.credit.id);
        }
        update_reservation(from);
        apply(from.queue.release(id, now_ - it.dispatched, now_));
    }
    else {
        while (from.running < from.queue.admitted_slots(now_) && !from.fifo.empty()) {
            const auto next = from.fifo.front();
            from.fifo.pop_front();
            // The baseline's backend server drops requests past their deadline, so it wastes no
            // work.
            now_ < requests_[next].deadline ? start(next) : refuse(next);
        }
    }
    if (scenario_.choice == choice_kind::idle_tokens &&
        from.running < from.queue.admitted_slots(now_) && from.fifo.empty()) {
        std::vector<std::size_t> candidates;
        for (std::size_t other = 0; other < daemons_.size(); ++other) {
            if (daemons_[other].domain == from.domain) {
                candidates.push_back(other);
            }
        }
        auto& tokens = daemons_[candidates[random_() % candidates.size()]].tokens[it.service];
        if (tokens.size() < from.slots) {
            tokens.push_back(it.target);
        }
    }
    push(delay(servers_[it.target].domain, daemons_[it.entry].domain), event_type::reply, id);
}

void simulation::apply(const policy::slot_changes& changes)
{
    for (const auto id : changes.started) {
        start(id);
    }
    for (const auto& it : changes.refused) {
        if (const auto credit = requests_[it.id].credit.id; credit != 0) {
            servers_[requests_[it.id].target].ledger.release(credit);
        }
        refuse(it.id);
    }
}

void simulation::refuse(std::size_t id)
{
    auto& it = requests_[id];
    it.refused = true;
    push(delay(servers_[it.target].domain, daemons_[it.entry].domain), event_type::reply, id);
}

void simulation::handle_reply(std::size_t id)
{
    auto& it = requests_[id];
    auto& entry = daemons_[it.entry];
    const auto& from = servers_[it.target];
    if (it.credit.id != 0) {
        entry.wallet.release(it.credit);
    }
    else if (from.domain == entry.domain) {
        entry.choices[it.service].finished(from.name);
    }
    if (!it.refused) {
        return finish(id, now_ < it.deadline && !is_lost(region_of(entry.domain)));
    }
    it.tried.push_back(from.name);
    // Only the home queue refuses a request before any work is done, so only then is another target
    // tried.
    if (scenario_.home_queue && !is_lost(region_of(entry.domain))) {
        return route(id);
    }
    finish(id, false);
}

void simulation::finish(std::size_t id, bool served)
{
    const auto& it = requests_[id];
    --open_requests_;
    if (!served) {
        ++refused_[it.service];
    }
    else {
        const std::chrono::duration<float, std::milli> response_time =
            now_ - it.arrived + 2 * deployment_.client_delay;
        latencies_.push_back(response_time.count());
    }
}

void simulation::handle_tick()
{
    ++ticks_;
    const auto interval = deployment_.services.front().service.shift.interval;
    const auto number = static_cast<std::uint64_t>(now_.time_since_epoch() / interval);
    if (number != shift_interval_) {
        shift_interval_ = number;
        for (std::size_t service = 0; service < shifts_.size(); ++service) {
            const auto cap =
                static_cast<double>(policy::cap_requests(deployment_.services[service].service));
            for (auto& it : shifts_[service]) {
                const double grown = static_cast<double>(it[0]) - static_cast<double>(it[1]);
                result_.shift_growth = std::max(result_.shift_growth, grown / cap);
                it = {0, it[0]};
            }
        }
    }
    std::vector<std::array<double, 2>> use(deployment_.topology.regions.size() * shifts_.size());
    for (auto& it : servers_) {
        if (scenario_.home_queue) {
            it.ledger.expire(now_);
            update_reservation(it);
            apply(it.queue.expire(now_));
        }
        auto& sum = use[region_of(it.domain) * shifts_.size() + it.service];
        sum[0] += it.running + static_cast<double>(it.fifo.size());
        sum[1] += it.slots;
    }
    for (const auto& it : use) {
        result_.region_use = std::max(result_.region_use, it[0] / it[1]);
    }
    if (ticks_ % 10 == 0) {
        for (auto& from : bytes_) {
            for (auto& it : from) {
                // 4,000 Mbit/s carry 50 MB in 100 ms.
                result_.link_use = std::max(result_.link_use, it / 50e6);
                it = 0;
            }
        }
        for (std::size_t it = 0; it < daemons_.size(); ++it) {
            request_credit(it);
        }
    }
    if (ticks_ % 50 == 0) {
        send_load_reports();
    }
    const bool arrivals_ended = now_ >= start_time_ + run_time;
    if (!arrivals_ended || open_requests_ > 0) {
        push(tick_time, event_type::tick, 0);
    }
    if (arrivals_ended) {
        const std::chrono::duration<double, std::milli> since = now_ - start_time_ - run_time;
        result_.drain_ms = since.count();
    }
}

void simulation::send_load_reports()
{
    // Lagging reports are 2 s old, which is four report intervals.
    const std::size_t lag = scenario_.reports == measurement::lagging ? 5 : 1;
    const bool reports_stopped =
        scenario_.reports == measurement::missing && now_ > start_time_ + event_time / 2;
    if (reports_stopped) {
        return;
    }
    for (auto& it : servers_) {
        it.history.push_back(scenario_.home_queue
                                 ? it.queue.in_use(now_) + it.queue.waiting()
                                 : it.running + static_cast<std::uint32_t>(it.fifo.size()));
        while (it.history.size() > lag) {
            it.history.pop_front();
        }
        const auto admitted = scenario_.home_queue ? it.queue.admitted_slots(now_) : it.slots;
        for (auto& entry : daemons_) {
            if (entry.domain == it.domain) {
                entry.choices[it.service].report(it.name, admitted, it.history.front(), now_);
            }
        }
    }
}

void simulation::request_credit(std::size_t entry)
{
    auto& from = daemons_[entry];
    if (scenario_.cross != cross_kind::credit || is_lost(region_of(from.domain))) {
        return;
    }
    from.wallet.expire(now_);
    for (std::size_t service = 0; service < deployment_.services.size(); ++service) {
        const auto& model = deployment_.services[service];
        // Number of leaving requests per 100 ms, smoothed over about half a second.
        from.demand[service] = from.demand[service] * 0.8 + from.departures[service] * 0.2;
        from.departures[service] = 0;
        for (std::size_t domain = 0; domain < deployment_.topology.failure_domains.size();
             ++domain) {
            if (domain == from.domain || is_lost(region_of(domain))) {
                continue;
            }
            const std::chrono::duration<double> slot_time =
                model.mean_service_time + 2 * delay(from.domain, domain);
            const auto demand = static_cast<std::uint32_t>(
                std::ceil(from.demand[service] * 10 * slot_time.count() / 2 - 0.05));
            const auto& name = deployment_.topology.failure_domains[domain].name;
            if (const auto wanted =
                    from.wallet.slots_to_request(model.service.name, name, demand, now_)) {
                std::vector<std::size_t> targets;
                for (std::size_t it = 0; it < servers_.size(); ++it) {
                    if (servers_[it].service == service && servers_[it].domain == domain) {
                        targets.push_back(it);
                    }
                }
                from.wallet.mark_requested(model.service.name, name, now_);
                credit_requests_.push_back(
                    {entry, targets[random_() % targets.size()], *wanted, now_, {}});
                push(delay(from.domain, domain), event_type::credit_request,
                     credit_requests_.size() - 1);
            }
        }
    }
}

void simulation::handle_credit_request(std::size_t number)
{
    auto& pending_credit = credit_requests_[number];
    auto& to = servers_[pending_credit.target];
    if (!is_lost(region_of(to.domain))) {
        const vm_id requester{vm_address(static_cast<std::uint32_t>(pending_credit.entry + 1), 1),
                              incarnation(1)};
        const policy::home_load load{to.queue.admitted_slots(now_), to.queue.local_in_use(now_),
                                     to.queue.waiting()};
        if (const auto it = to.ledger.grant(requester, pending_credit.wanted, load, now_)) {
            pending_credit.grant = *it;
        }
        update_reservation(to);
    }
    push(delay(to.domain, daemons_[pending_credit.entry].domain), event_type::credit_reply, number);
}

} // namespace toucan::bench
