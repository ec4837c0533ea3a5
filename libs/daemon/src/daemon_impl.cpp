#include "daemon_impl.h"

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
constexpr milliseconds backend_poll_interval{500};
constexpr milliseconds credit_renewal_interval{100};
constexpr milliseconds vm_list_interval{1000};
constexpr milliseconds purge_interval{1000};
constexpr milliseconds drain_poll_interval{20};
/// Time after which all daemons know that this one is leaving: two intervals each of the sync
/// between members and of the sync between gateways.
constexpr milliseconds leave_propagation_time =
    2 * (config::sync_interval + config::gateway_interval);
/// Maximum age of the cached view for acting as a home. After a pause of the process the view is
/// older than this until the refresh task runs again.
constexpr milliseconds view_validity{500};
constexpr std::size_t control_worker_threads = 16;
constexpr std::size_t max_queued_tasks = 4096;
constexpr std::size_t max_queued_calls = 4096;

std::uint64_t random_salt()
{
    std::random_device device;
    return device();
}

} // namespace

daemon::impl::impl(settings options, const clock& time)
    : options_(std::move(options)),
      clock_(time), self_{options_.listen_rpc, incarnation::start(time.wall_now(), random_salt())},
      epoch_offset_(time.wall_now().time_since_epoch() - time.now().time_since_epoch()),
      table_service_(make_platform_client<platform::http_table_service>()),
      object_store_(make_platform_client<platform::http_object_store>()),
      vm_list_(make_platform_client<platform::http_vm_list>()), direct_peers_(make_rpc_options()),
      peers_(direct_peers_, options_.peer_overrides),
      config_updater_(config_store_, table_service_.get(), object_store_.get(), peers_),
      members_(make_self_description(), clock_),
      backend_pool_(
          clock_,
          [this](const vm_address& from, response_fault fault, const std::string& reason) {
              record_broken_response("backend", from, fault, reason);
          }),
      homes_(self_, backend_pool_, home_environment()),
      router_(router_environment(), homes_, peers_), key_issuer_(self_, clock_),
      operation_table_(clock_), witness_table_(self_, clock_),
      operation_coordinator_(
          self_, clock_, key_issuer_, operation_table_, witness_table_, peers_,
          table_service_.get(),
          [this](const rpc::forward_request& request, steady_time deadline,
                 const operations::dispatch_guard& guard) {
              return call_handler_.dispatch(request, deadline, guard);
          },
          [this](vm_address peer) { return is_reachable(peer); }),
      call_handler_(
          clock_, self_, router_, homes_, operation_coordinator_, metrics_,
          {!options_.is_disabled("at_most_once"), !options_.is_disabled("true_refusals")}),
      start_time_(time.now()), peer_sync_(clock_, members_, scheduler_, peers_, workers_,
                                          [this](vm_address peer) { pull_configuration(peer); }),
      backend_poller_(
          clock_, homes_, workers_,
          [this](const backend_server_name& name, incarnation run) {
              members_.record_leaving({name, run});
          },
          [this](const backend_server_name& name, incarnation run) {
              members_.record_running(name, run);
          }),
      workers_(control_worker_threads, max_queued_tasks)
{
}

membership::self_description daemon::impl::make_self_description()
{
    return membership::self_description_builder()
        .id(self_)
        .http_port(options_.listen_http.port())
        .location(options_.failure_domain, options_.region)
        .summarize_loads([this](const auto& loads) { return summarize_loads(loads); })
        .build();
}

template <typename Client>
std::unique_ptr<Client> daemon::impl::make_platform_client()
{
    if (!options_.platform) {
        return nullptr;
    }
    return std::make_unique<Client>(*options_.platform, config::platform_timeout,
                                    [this](response_fault fault, const std::string& reason) {
                                        record_broken_response("platform", *options_.platform,
                                                               fault, reason);
                                    });
}

rpc::rpc_client_options daemon::impl::make_rpc_options()
{
    rpc::rpc_client_options it;
    it.broken_reply = [this](const vm_address& peer, response_fault fault) {
        record_broken_response("daemon", peer, fault, "response that another daemon has handed on");
    };
    return it;
}

void daemon::impl::record_broken_response(const char* from, const vm_address& address,
                                          response_fault fault, const std::string& reason)
{
    ++metrics_.count(fmt::format("toucan_broken_responses_total{{from=\"{}\",fault=\"{}\"}}", from,
                                 name_of(fault)));
    log(log_part::http)
        .warn("broken response of {} {}: {} ({})", from, address.to_string(), reason,
              name_of(fault));
}

home::environment daemon::impl::home_environment()
{
    home::environment env;
    env.time = &clock_;
    env.epoch_offset = epoch_offset_;
    env.is_valid = [this] {
        return is_home_valid();
    };
    env.enforce_credit = !options_.is_disabled("credit");
    env.enforce_shift = !options_.is_disabled("shift_cap");
    return env;
}

request_router::environment daemon::impl::router_environment() const
{
    request_router::environment env;
    env.time = &clock_;
    env.epoch_offset = epoch_offset_;
    env.self = self_;
    env.enforce_shift = !options_.is_disabled("shift_cap");
    return env;
}

rpc::daemon_handlers daemon::impl::rpc_handlers()
{
    rpc::daemon_handlers handlers;
    handlers.forward = [this](const auto& request) {
        return call_handler_.handle_forward(request);
    };
    handlers.sync = [this](const auto& request) {
        return members_.handle_sync(request);
    };
    handlers.fetch = [this](const auto& request) {
        return config_updater_.handle_fetch(request);
    };
    handlers.record_intent = [this](const auto& request) {
        return operation_coordinator_.handle_intent(request);
    };
    handlers.request_credit = [this](const auto& request) {
        return homes_.grant(request);
    };
    return handlers;
}

http_handlers daemon::impl::frontend_handlers()
{
    http_handlers handlers;
    handlers.call = [this](const auto& request, auto& response) {
        call_handler_.handle(request, response);
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
        answer_lookup(request, *view, key_issuer_, options_.lookup_lifetime, response);
    };
    handlers.metrics = [this] {
        return metrics_.render();
    };
    handlers.state = [this] {
        return dump_state();
    };
    handlers.not_ready = [this]() -> std::string {
        if (draining_) {
            return "draining";
        }
        return ready_ ? "" : not_ready_reason(*members_.view());
    };
    return handlers;
}

bool daemon::impl::start()
{
    std::vector<vm_address> seeds = options_.seeds;
    std::erase(seeds, self_.address);
    members_.set_seeds(seeds);
    rpc_server_ = rpc::rpc_server::start(options_.listen_rpc, rpc_handlers(),
                                         config::rpc_worker_threads, max_queued_calls);
    if (!rpc_server_) {
        return false;
    }
    frontend_ =
        http_frontend::start(options_.listen_http, options_.http_threads, frontend_handlers());
    if (!frontend_) {
        return false;
    }
    log(log_part::daemon)
        .info("started, rpc {}, http {}, failure domain {}, incarnation {}",
              self_.address.to_string(), options_.listen_http.to_string(),
              options_.failure_domain.text(), self_.run.to_string());
    start_tasks();
    return true;
}

void daemon::impl::start_tasks()
{
    const auto add_task = [this](milliseconds interval, std::function<void()> task) {
        tasks_.push_back(std::make_unique<periodic_task>(interval, std::move(task)));
    };
    add_task(refresh_interval, [this] { refresh(); });
    add_task(refresh_interval, [this] { peer_sync_.tick(); });
    add_task(home_tick_interval, [this] { homes_.tick(); });
    add_task(config::head_poll_interval, [this] { poll_head(); });
    add_task(backend_poll_interval, [this] { backend_poller_.poll_all(); });
    add_task(credit_renewal_interval, [this] { router_.renew_credit(); });
    add_task(vm_list_interval, [this] { read_vm_list(); });
    add_task(purge_interval, [this] {
        operation_table_.purge();
        witness_table_.purge();
    });
}

void daemon::impl::refresh()
{
    auto loads = homes_.loads();
    members_.set_home_loads(loads);
    members_.set_config_version(config_store_.version());
    const auto taken_at = clock_.now();
    const auto members = members_.view();
    {
        const absl::MutexLock lock(&view_mutex_);
        view_ = {members, taken_at};
    }
    choose_witness(*members);
    const auto config = config_store_.current();
    if (config) {
        if (config != applied_config_) {
            backend_pool_.apply(*config);
            applied_config_ = config;
        }
        auto routing_members = *members;
        if (options_.is_disabled("leaving")) {
            routing_members.leaving.clear();
        }
        auto view = build_routing_view(config, routing_members);
        for (auto& it : loads) {
            view->loads.push_back({std::move(it), taken_at});
        }
        // Another daemon can have been the home of a new backend server only if this daemon knows
        // other members of its failure domain.
        homes_.reconcile(assigned_homes(*view, self_.address), !members->members.empty());
        router_.update(std::move(view));
    }
    update_readiness(*members);
}

void daemon::impl::choose_witness(const membership::member_view& members)
{
    std::vector<vm_id> ready;
    for (const auto& it : members.members) {
        if (it.reachable && it.entry.state == rpc::member_state::ready &&
            !key_issuer_.is_excluded(it.entry.id)) {
            ready.push_back(it.entry.id);
        }
    }
    const auto current = key_issuer_.witness();
    if (current && std::find(ready.begin(), ready.end(), *current) != ready.end()) {
        return;
    }
    std::vector<vm_address> candidates;
    candidates.reserve(ready.size());
    for (const auto& it : ready) {
        candidates.push_back(it.address);
    }
    const auto order = rendezvous_order("witness " + self_.address.to_string(), candidates, 1);
    if (order.empty() || options_.is_disabled("witness")) {
        key_issuer_.set_witness(std::nullopt);
        return;
    }
    key_issuer_.set_witness(*std::find_if(
        ready.begin(), ready.end(), [&](const auto& it) { return it.address == order.front(); }));
}

std::string daemon::impl::not_ready_reason(const membership::member_view& members) const
{
    for (const auto& it : members.unresolved_seeds) {
        if (members.failing_peers.count(it) == 0 && it != self_.address) {
            return "waiting for an answer of " + it.to_string();
        }
    }
    const auto version = config_store_.version();
    if (version < members.highest_config_version) {
        return fmt::format("configuration {} in force, peers have {}", version,
                           members.highest_config_version);
    }
    if (version == 0) {
        return config_updater_.platform_answered()
                   ? "nothing is published yet"
                   : "no configuration: neither the platform nor a peer "
                     "has answered";
    }
    if (!config_updater_.platform_answered() && !members.last_sync && members.summaries.empty()) {
        return "neither the platform nor a peer has answered";
    }
    return {};
}

void daemon::impl::update_readiness(const membership::member_view& members)
{
    if (ready_ || !not_ready_reason(members).empty()) {
        return;
    }
    ready_ = true;
    if (!draining_) {
        members_.set_state(rpc::member_state::ready);
        log(log_part::daemon).info("ready with configuration {}", config_store_.version());
    }
}

void daemon::impl::pull_configuration(vm_address)
{
    const auto view = members_.view();
    if (view->config_source && view->highest_config_version > config_store_.version()) {
        config_updater_.pull(*view->config_source);
        members_.set_config_version(config_store_.version());
    }
}

bool daemon::impl::is_platform_reader() const
{
    // A daemon that is not ready yet reads the platform itself.
    if (!ready_) {
        return true;
    }
    const auto view = read_cached_view().members;
    const auto readers =
        membership::head_readers(view->self.failure_domain, view->ready_addresses());
    return std::find(readers.begin(), readers.end(), self_.address) != readers.end();
}

void daemon::impl::poll_head()
{
    if (is_platform_reader()) {
        config_updater_.poll_platform();
    }
}

void daemon::impl::read_vm_list()
{
    // Only platform readers fetch the VM list. They pass the leaving signals of backend servers in
    // it on to the other daemons. If each of 1,200 daemons read the list once a second, this would
    // take most of the 2,000 reads a second that the platform serves.
    if (!vm_list_ || !is_platform_reader()) {
        return;
    }
    const auto entries = vm_list_->fetch();
    if (!entries) {
        return;
    }
    const auto config = config_store_.current();
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
                    members_.record_leaving({backend.name, incarnation()});
                }
            }
        }
    }
    std::sort(contacts.begin(), contacts.end());
    contacts.erase(std::unique(contacts.begin(), contacts.end()), contacts.end());
    std::erase(contacts, self_.address);
    members_.set_seeds(std::move(contacts));
}

daemon::impl::cached_view daemon::impl::read_cached_view() const
{
    const absl::MutexLock lock(&view_mutex_);
    return view_;
}

bool daemon::impl::is_home_valid() const
{
    if (options_.is_disabled("home_validity")) {
        return true;
    }
    const auto [members, taken_at] = read_cached_view();
    const auto now = clock_.now();
    if (!members || now - taken_at > view_validity) {
        return false;
    }
    return members->is_alone ||
           (members->last_sync && now - *members->last_sync <= config::home_validity);
}

bool daemon::impl::is_reachable(vm_address peer) const
{
    const auto members = read_cached_view().members;
    if (!members) {
        return true;
    }
    for (const auto& it : members->members) {
        if (it.entry.id.address == peer) {
            return it.reachable;
        }
    }
    return members->failing_peers.count(peer) == 0;
}

std::vector<rpc::service_load>
daemon::impl::summarize_loads(const std::vector<rpc::backend_load>& loads) const
{
    std::vector<rpc::service_load> result;
    const auto config = config_store_.current();
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

bool daemon::impl::is_idle() const
{
    const auto loads = homes_.loads();
    return frontend_->calls_in_progress() == 0 && operation_table_.read_counts().in_progress == 0 &&
           std::all_of(loads.begin(), loads.end(),
                       [](const auto& it) { return it.in_use == 0 && it.queued == 0; });
}

bool daemon::impl::drain()
{
    draining_ = true;
    const auto started_at = clock_.now();
    const auto limit = started_at + options_.drain_limit;
    members_.set_state(rpc::member_state::leaving);
    if (!options_.is_disabled("graceful_stop")) {
        // Callers may use cached look-up answers that name this VM until the answers expire.
        const auto answers_expired_at =
            std::min(started_at + options_.lookup_lifetime + leave_propagation_time, limit);
        std::this_thread::sleep_for(answers_expired_at - started_at);
    }
    call_handler_.refuse_new_calls();
    frontend_->close_connections();
    while (!is_idle()) {
        if (clock_.now() >= limit) {
            log(log_part::daemon)
                .warn("drain limit reached; stopping with requests still in progress");
            return false;
        }
        std::this_thread::sleep_for(drain_poll_interval);
    }
    return true;
}

void daemon::impl::stop()
{
    tasks_.clear();
    frontend_.reset();
    rpc_server_.reset();
}

std::string daemon::impl::dump_state() const
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
          {"uptime_s", std::chrono::duration<double>(clock_.now() - start_time_).count()}}},
        {"configuration",
         {{"version", config_store_.version()},
          {"platform_answered", config_updater_.platform_answered()}}},
        {"membership", dump_members(*members_.view(), clock_.now())},
        {"homes", homes_.state()},
        {"services", router_.state()},
        {"operations", dump_operations(operation_table_, witness_table_, key_issuer_)}};
    return result.dump(2) + "\n";
}

} // namespace toucan::daemon
