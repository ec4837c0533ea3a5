#include "daemon_state.h"

#include "lookup_handler.h"
#include "state_dump.h"
#include "view_builder.h"

#include "toucan/base/last_reason.h"
#include "toucan/base/log.h"
#include "toucan/base/rendezvous.h"
#include "toucan/membership/head_reader_selection.h"
#include "toucan/membership/self_description_builder.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

namespace toucan::daemon {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds refresh_interval{50};
constexpr milliseconds home_tick_interval{5};
constexpr milliseconds poll_interval{500};
constexpr milliseconds credit_interval{100};
constexpr milliseconds vm_list_interval{1000};
constexpr milliseconds purge_interval{1000};
constexpr milliseconds drain_poll_interval{20};
/// Time in which a daemon that leaves becomes known everywhere: a sync and a gateway round, twice.
constexpr milliseconds spread_time = 2 * (config::sync_interval + config::gateway_interval);
/// The cached view counts as current for this long; the refresh task is late in a paused process.
constexpr milliseconds view_validity{500};
constexpr std::size_t control_workers = 16;
constexpr std::size_t queued_tasks = 4096;
constexpr std::size_t queued_calls = 4096;

std::uint64_t random_salt()
{
    std::random_device device;
    return device();
}

} // namespace

daemon::state::state(settings options, const clock& time)
    : options_(std::move(options)),
      clock_(time), self_{options_.listen_rpc, incarnation::start(time.wall_now(), random_salt())},
      epoch_offset_(time.wall_now().time_since_epoch() - time.now().time_since_epoch()),
      table_(options_.platform ? std::make_unique<platform::http_table_service>(*options_.platform)
                               : nullptr),
      objects_(options_.platform ? std::make_unique<platform::http_object_store>(*options_.platform)
                                 : nullptr),
      vms_(options_.platform ? std::make_unique<platform::http_vm_list>(*options_.platform)
                             : nullptr),
      peers_(direct_peers_, options_.peer_overrides),
      updater_(store_, table_.get(), objects_.get(), peers_), members_(describe(), clock_),
      pool_(clock_), homes_(self_, pool_, home_environment()),
      router_(router_environment(), homes_, peers_), issuer_(self_, clock_), operations_(clock_),
      witnessed_(self_, clock_),
      coordinator_(
          self_, clock_, issuer_, operations_, witnessed_, peers_, table_.get(),
          [this](const rpc::forward_request& request, steady_time deadline,
                 const operations::dispatch_guard& guard) {
              return calls_.dispatch(request, deadline, guard);
          },
          [this](vm_address peer) { return is_reachable(peer); }),
      calls_(clock_, self_, router_, homes_, coordinator_, metrics_,
             {!options_.is_disabled("at_most_once"), !options_.is_disabled("true_refusals")}),
      started_(time.now()), sync_(clock_, members_, scheduler_, peers_, workers_,
                                  [this](vm_address peer) { pull_configuration(peer); }),
      watcher_(
          clock_, homes_, workers_,
          [this](const backend_server_name& name, incarnation run) {
              members_.note_leaving({name, run});
          },
          [this](const backend_server_name& name, incarnation run) {
              members_.note_running(name, run);
          }),
      workers_(control_workers, queued_tasks)
{
}

membership::self_description daemon::state::describe()
{
    return membership::self_description_builder()
        .id(self_)
        .http_port(options_.listen_http.port())
        .place(options_.failure_domain, options_.region)
        .summarise([this](const auto& loads) { return summarise(loads); })
        .build();
}

home::environment daemon::state::home_environment()
{
    home::environment env;
    env.time = &clock_;
    env.epoch_offset = epoch_offset_;
    env.valid = [this] {
        return is_home_valid();
    };
    env.enforce_credit = !options_.is_disabled("credit");
    env.enforce_shift = !options_.is_disabled("shift_cap");
    return env;
}

request_router::environment daemon::state::router_environment() const
{
    request_router::environment env;
    env.time = &clock_;
    env.epoch_offset = epoch_offset_;
    env.self = self_;
    env.enforce_shift = !options_.is_disabled("shift_cap");
    return env;
}

rpc::daemon_handlers daemon::state::rpc_handlers()
{
    rpc::daemon_handlers handlers;
    handlers.forward = [this](const auto& request) {
        return calls_.handle_forward(request);
    };
    handlers.sync = [this](const auto& request) {
        return members_.handle_sync(request);
    };
    handlers.fetch = [this](const auto& request) {
        return updater_.answer(request);
    };
    handlers.record_intent = [this](const auto& request) {
        return coordinator_.handle_intent(request);
    };
    handlers.request_credit = [this](const auto& request) {
        return homes_.grant(request);
    };
    return handlers;
}

http_handlers daemon::state::web_handlers()
{
    http_handlers handlers;
    handlers.call = [this](const auto& request, auto& response) {
        calls_.handle(request, response);
    };
    handlers.lookup = [this](const auto& request, auto& response) {
        const auto view = router_.view();
        if (!view) {
            response.status = 503;
            response.set_content("{\"error\": \"no configuration in force yet\"}\n",
                                 "application/json");
            return;
        }
        ++metrics_.count("toucan_lookups_total");
        answer_lookup(request, *view, issuer_, options_.lookup_lifetime, response);
    };
    handlers.metrics = [this] {
        return metrics_.render();
    };
    handlers.state = [this] {
        return dump();
    };
    handlers.not_ready = [this]() -> std::string {
        if (draining_) {
            return "draining";
        }
        return ready_ ? "" : not_ready_reason(*members_.view());
    };
    return handlers;
}

bool daemon::state::start()
{
    std::vector<vm_address> seeds = options_.seeds;
    std::erase(seeds, self_.address);
    members_.set_seeds(seeds);
    rpc_server_ = rpc::rpc_server::start(options_.listen_rpc, rpc_handlers(),
                                         config::rpc_worker_threads, queued_calls);
    if (!rpc_server_) {
        return false;
    }
    front_ = http_front::start(options_.listen_http, options_.http_threads, web_handlers());
    if (!front_) {
        return false;
    }
    log(log_part::daemon)
        .info("started, rpc {}, http {}, failure domain {}, incarnation {}",
              self_.address.to_string(), options_.listen_http.to_string(),
              options_.failure_domain.text(), self_.run.to_string());
    start_tasks();
    return true;
}

void daemon::state::start_tasks()
{
    const auto run = [this](milliseconds interval, std::function<void()> task) {
        tasks_.push_back(std::make_unique<periodic_task>(interval, std::move(task)));
    };
    run(refresh_interval, [this] { refresh(); });
    run(refresh_interval, [this] { sync_.tick(); });
    run(home_tick_interval, [this] { homes_.tick(); });
    run(config::head_poll_interval, [this] { poll_head(); });
    run(poll_interval, [this] { watcher_.poll_all(); });
    run(credit_interval, [this] { router_.renew_credit(); });
    run(vm_list_interval, [this] { read_vm_list(); });
    run(purge_interval, [this] {
        operations_.purge();
        witnessed_.purge();
    });
}

void daemon::state::refresh()
{
    auto loads = homes_.loads();
    members_.set_homes(loads);
    members_.set_config_version(store_.version());
    const auto taken = clock_.now();
    const auto members = members_.view();
    {
        const absl::MutexLock lock(&view_mutex_);
        view_ = {members, taken};
    }
    choose_witness(*members);
    const auto config = store_.current();
    if (config) {
        if (config != applied_) {
            pool_.apply(*config);
            applied_ = config;
        }
        auto known = *members;
        if (options_.is_disabled("leaving")) {
            known.leaving.clear();
        }
        auto view = build_routing_view(config, known);
        for (auto& it : loads) {
            view->loads.push_back({std::move(it), taken});
        }
        // A successor may only be one whose predecessor can have granted credit: not when this
        // daemon is the first one of its failure domain to be ready.
        homes_.reconcile(plan_homes(*view, self_.address), !members->members.empty());
        router_.update(std::move(view));
    }
    update_readiness(*members);
}

void daemon::state::choose_witness(const membership::member_view& members)
{
    std::vector<vm_id> ready;
    for (const auto& it : members.members) {
        if (it.reachable && it.entry.state == rpc::member_state::ready &&
            !issuer_.is_excluded(it.entry.id)) {
            ready.push_back(it.entry.id);
        }
    }
    const auto present = issuer_.witness();
    if (present && std::find(ready.begin(), ready.end(), *present) != ready.end()) {
        return;
    }
    std::vector<vm_address> candidates;
    candidates.reserve(ready.size());
    for (const auto& it : ready) {
        candidates.push_back(it.address);
    }
    const auto order = rendezvous_order("witness " + self_.address.to_string(), candidates, 1);
    if (order.empty() || options_.is_disabled("witness")) {
        issuer_.set_witness(std::nullopt);
        return;
    }
    issuer_.set_witness(*std::find_if(ready.begin(), ready.end(),
                                      [&](const auto& it) { return it.address == order.front(); }));
}

std::string daemon::state::not_ready_reason(const membership::member_view& members) const
{
    for (const auto& it : members.contacts) {
        if (members.failing.count(it) == 0 && it != self_.address) {
            return "waiting for an answer of " + it.to_string();
        }
    }
    const auto version = store_.version();
    if (version < members.highest_config_version) {
        return fmt::format("configuration {} in force, peers have {}", version,
                           members.highest_config_version);
    }
    if (version == 0) {
        return updater_.platform_answered() ? "nothing is published yet"
                                            : "no configuration: neither the platform nor a peer "
                                              "has answered";
    }
    if (!updater_.platform_answered() && !members.last_sync && members.summaries.empty()) {
        return "neither the platform nor a peer has answered";
    }
    return {};
}

void daemon::state::update_readiness(const membership::member_view& members)
{
    if (ready_ || !not_ready_reason(members).empty()) {
        return;
    }
    ready_ = true;
    if (!draining_) {
        members_.set_state(rpc::member_state::ready);
        log(log_part::daemon).info("ready with configuration {}", store_.version());
    }
}

void daemon::state::pull_configuration(vm_address)
{
    const auto view = members_.view();
    if (view->config_source && view->highest_config_version > store_.version()) {
        updater_.pull(*view->config_source);
        members_.set_config_version(store_.version());
    }
}

bool daemon::state::reads_platform() const
{
    // A daemon that is not ready yet asks for itself.
    if (!ready_) {
        return true;
    }
    const auto view = cached().members;
    const auto readers =
        membership::head_readers(view->self.failure_domain, view->ready_addresses());
    return std::find(readers.begin(), readers.end(), self_.address) != readers.end();
}

void daemon::state::poll_head()
{
    if (reads_platform()) {
        updater_.poll_platform();
    }
}

void daemon::state::read_vm_list()
{
    // Readers pass on what the list says about backend servers, because 1,200 daemons that each
    // read it once a second would take most of the platform's 2,000 reads a second.
    if (!vms_ || !reads_platform()) {
        return;
    }
    const auto entries = vms_->fetch();
    if (!entries) {
        return;
    }
    const auto config = store_.current();
    std::vector<vm_address> contacts = options_.seeds;
    for (const auto& it : *entries) {
        if (it.role == platform::vm_role::entry) {
            if (!it.leaving) {
                contacts.push_back(it.address);
            }
            continue;
        }
        if (!it.leaving || !config) {
            continue;
        }
        for (const auto& service : config->services) {
            for (const auto& backend : service.upstreams) {
                if (backend.address == it.address) {
                    members_.note_leaving({backend.name, incarnation()});
                }
            }
        }
    }
    std::sort(contacts.begin(), contacts.end());
    contacts.erase(std::unique(contacts.begin(), contacts.end()), contacts.end());
    std::erase(contacts, self_.address);
    members_.set_seeds(std::move(contacts));
}

daemon::state::cached_view daemon::state::cached() const
{
    const absl::MutexLock lock(&view_mutex_);
    return view_;
}

bool daemon::state::is_home_valid() const
{
    if (options_.is_disabled("home_validity")) {
        return true;
    }
    const auto [members, taken] = cached();
    const auto now = clock_.now();
    if (!members || now - taken > view_validity) {
        return false;
    }
    return members->is_alone ||
           (members->last_sync && now - *members->last_sync <= config::home_validity);
}

bool daemon::state::is_reachable(vm_address peer) const
{
    const auto members = cached().members;
    if (!members) {
        return true;
    }
    for (const auto& it : members->members) {
        if (it.entry.id.address == peer) {
            return it.reachable;
        }
    }
    return members->failing.count(peer) == 0;
}

std::vector<rpc::service_load>
daemon::state::summarise(const std::vector<rpc::backend_load>& loads) const
{
    std::vector<rpc::service_load> result;
    const auto config = store_.current();
    if (!config) {
        return result;
    }
    for (const auto& service : config->services) {
        rpc::service_load sum{service.name, 0, 0, 0};
        for (const auto& backend : service.upstreams) {
            const auto it = std::find_if(loads.begin(), loads.end(), [&](const auto& other) {
                return other.backend == backend.name;
            });
            if (it != loads.end()) {
                sum.capacity_slots += it->admitted_slots;
                sum.spare_slots += it->admitted_slots - std::min(it->admitted_slots, it->in_use);
                sum.queued += it->queued;
            }
        }
        if (sum.capacity_slots > 0) {
            result.push_back(sum);
        }
    }
    return result;
}

bool daemon::state::is_idle() const
{
    const auto loads = homes_.loads();
    return front_->calls_under_way() == 0 && operations_.read_counts().in_progress == 0 &&
           std::all_of(loads.begin(), loads.end(),
                       [](const auto& it) { return it.in_use == 0 && it.queued == 0; });
}

bool daemon::state::drain()
{
    draining_ = true;
    const auto begun = clock_.now();
    const auto limit = begun + options_.drain_limit;
    members_.set_state(rpc::member_state::leaving);
    if (!options_.is_disabled("graceful_stop")) {
        // Callers may use cached answers that name this VM until they lapse.
        const auto lapsed = std::min(begun + options_.lookup_lifetime + spread_time, limit);
        std::this_thread::sleep_for(lapsed - begun);
    }
    calls_.refuse_new();
    front_->close_connections();
    while (!is_idle()) {
        if (clock_.now() >= limit) {
            log(log_part::daemon).warn("drain limit passed with work under way");
            return false;
        }
        std::this_thread::sleep_for(drain_poll_interval);
    }
    return true;
}

void daemon::state::stop()
{
    tasks_.clear();
    front_.reset();
    rpc_server_.reset();
}

std::string daemon::state::dump() const
{
    nlohmann::json result = {
        {"self",
         {{"rpc", self_.address.to_string()},
          {"http", options_.listen_http.to_string()},
          {"incarnation", self_.run.to_string()},
          {"failure_domain", options_.failure_domain.text()},
          {"region", options_.region.text()},
          {"ready", ready_.load()},
          {"draining", draining_.load()},
          {"uptime_s", std::chrono::duration<double>(clock_.now() - started_).count()}}},
        {"configuration",
         {{"version", store_.version()}, {"platform_answered", updater_.platform_answered()}}},
        {"membership", dump_members(*members_.view(), clock_.now())},
        {"homes", homes_.state()},
        {"services", router_.state()},
        {"operations", dump_operations(operations_, witnessed_, issuer_)}};
    return result.dump(2) + "\n";
}

} // namespace toucan::daemon
