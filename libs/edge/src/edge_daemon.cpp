#include "toucan/edge/edge_daemon.h"

#include "asio.h"
#include "backend_rows.h"
#include "directory.h"
#include "dispatcher.h"
#include "event_log.h"
#include "fleet.h"
#include "http_server.h"
#include "peer_exchange.h"
#include "shared_tables.h"

#include "toucan/base/last_reason.h"
#include "toucan/base/metrics.h"
#include "toucan/base/stable_hash.h"
#include "toucan/base/text.h"
#include "toucan/edge/member_row.h"
#include "toucan/policy/row_removal.h"

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <exception>
#include <utility>

namespace toucan::edge {

namespace {

/// Fraction of the stop grace period during which new connections are still accepted, because
/// callers may still use an older look-up answer.
constexpr double accepting_fraction = 0.48;
/// The process exits at the latest this long before the end of the stop grace period.
constexpr milliseconds forced_end_margin{400};
/// Requests still in progress this long before the end of the stop grace period are answered, which
/// leaves time to send the responses before the process exits.
constexpr milliseconds last_response_margin{490};
/// From this long before the end of the stop grace period on, connections are ended even if their
/// callers always have a request in progress.
constexpr milliseconds end_connections_margin{1000};
constexpr milliseconds stop_check_interval{50};
constexpr milliseconds housekeeping_interval{250};
/// The row of a daemon that has not reported to any other daemon for this long is removed. A daemon
/// that restarts writes its row again.
constexpr milliseconds member_expiry{15000};
constexpr milliseconds member_check_interval{2000};
constexpr milliseconds activity_log_interval{10000};
/// Memory of a daemon without load, with the tables of a large fleet.
constexpr double idle_memory_mb = 24;
/// Share of the remaining memory that connections, requests and responses may hold. The rest is for
/// fragmentation, short-lived copies and the service ports.
constexpr double message_memory_share = 0.5;
/// The same share for VMs that have little more than the memory of an idle daemon.
constexpr double min_message_memory_share = 0.15;
/// Memory that a single large request cannot use: that of an idle daemon and of small requests.
constexpr double memory_beside_single_mb = 40;
/// Share of the memory for the connections of each service port (readiness, directory, metrics).
constexpr double service_port_memory_share = 1.0 / 64;
/// Descriptors for the log, the event loop, the store, the listening sockets and the other daemons.
constexpr std::size_t base_descriptors = 96;
constexpr std::size_t min_readiness_connections = 32;
constexpr std::size_t metrics_connections = 16;
/// Shares of the descriptors for the callers' port and the directory port. The other half is for
/// connections to backend servers.
constexpr std::size_t callers_descriptor_part = 2;
constexpr std::size_t directory_descriptor_part = 16;
constexpr int mmap_threshold_bytes = 128 << 10;
/// Requests of the service ports have no body.
constexpr std::size_t service_port_body_bytes = 64U << 10U;
/// Lifetime of a look-up answer. Short, so that callers soon stop using a stopped daemon.
constexpr milliseconds directory_lifetime{1500};

std::size_t mebibytes(double it)
{
    return static_cast<std::size_t>(std::max(it, 0.0) * 1048576.0);
}

/// Budget of the callers' port and of the responses of backend servers.
std::shared_ptr<byte_budget> message_memory(const settings& it)
{
    const auto limit = std::max(message_memory_share * (it.memory_mb - idle_memory_mb),
                                min_message_memory_share * it.memory_mb);
    return std::make_shared<byte_budget>(mebibytes(limit),
                                         mebibytes(it.memory_mb - memory_beside_single_mb));
}

/// Descriptors for connections of callers, of directory look-ups and to backend servers.
std::size_t connection_descriptors(const settings& it)
{
    const auto reserved = base_descriptors + min_readiness_connections + metrics_connections;
    return std::max(it.max_descriptors, 2 * reserved) - reserved;
}

std::size_t directory_connections(const settings& it)
{
    return connection_descriptors(it) / directory_descriptor_part;
}

std::size_t callers_connections(const settings& it)
{
    return connection_descriptors(it) / callers_descriptor_part - directory_connections(it);
}

caller_limits service_port_limits()
{
    caller_limits it;
    it.max_body_bytes = service_port_body_bytes;
    return it;
}

http_response text_response(int status, std::string type, std::string body)
{
    return {status, {{"Content-Type", std::move(type)}}, std::move(body)};
}

} // namespace

class edge_daemon::state {
public:
    state(settings daemon_settings, std::string settings_path, deployment_adapter adapter,
          const clock& time);

    bool run();

private:
    bool listen();
    void run_loop();
    void operator_changed(const table_row& row);
    void operator_removed(const std::string& key);
    void member_changed(const table_row& row);
    /// Handles a daemon's row of a restored store.
    void member_restored(const table_row& row);
    void member_removed(const std::string& key);
    void members_changed();
    [[nodiscard]] bool ready() const
    {
        return tables_.loaded() && dispatcher_.config() && !stopping_;
    }
    [[nodiscard]] shared_tables::events table_events();
    void housekeeping();
    /// Writes what this daemon has used so far to the log, at a fixed interval.
    void log_activity(steady_time now);
    /// Removes the rows of expired daemons, which would otherwise keep their share of the limits
    /// that are divided among all daemons.
    void remove_expired_members();
    void wait_for_signal();
    void reload();
    void begin_stop();
    void check_stop();
    http_response look_up(const http_request& request) const;
    http_response metrics_page(const http_request& request);
    [[nodiscard]] std::string state_dump();
    [[nodiscard]] caller_limits limits() const;
    /// Sets the limits of a port that answers requests at once. Its memory and connections are
    /// apart from those of the callers' port, so that it answers while that one is full.
    void limit_service_port(http_server& server, const char* name, std::size_t max_connections);
    /// Metrics of the limits on connections and memory.
    [[nodiscard]] std::string render_limits() const;
    http_server::request_handler
    sync_handler(std::function<http_response(const http_request&)> answer);

    settings settings_;
    std::string settings_path_;
    deployment_adapter adapter_;
    const clock& time_;
    std::int64_t run_;
    asio::io_context loop_{1};
    asio::signal_set signals_;
    asio::steady_timer housekeeping_timer_;
    asio::steady_timer stop_timer_;
    metrics metrics_;
    std::shared_ptr<byte_budget> message_memory_;
    fleet fleet_;
    backend_rows backend_rows_;
    dispatcher dispatcher_;
    peer_exchange peers_;
    shared_tables tables_;
    directory directory_;
    http_server caller_server_;
    http_server readiness_server_;
    http_server directory_server_;
    http_server metrics_server_;
    policy::row_removal removal_;
    steady_time last_member_check_;
    steady_time next_activity_log_;
    steady_time stop_began_;
    /// Of the settings at the beginning of the stop, which a later reload does not change.
    milliseconds stop_grace_{0};
    /// Rows of daemons have changed since `members_changed` was last called.
    bool members_dirty_ = false;
    bool stopping_ = false;
    bool accepting_ = true;
};

edge_daemon::state::state(settings daemon_settings, std::string settings_path,
                          deployment_adapter adapter, const clock& time)
    : settings_(std::move(daemon_settings)), settings_path_(std::move(settings_path)),
      adapter_(std::move(adapter)), time_(time),
      run_(std::chrono::duration_cast<milliseconds>(time.wall_now().time_since_epoch()).count()),
      signals_(loop_, SIGTERM, SIGINT, SIGHUP), housekeeping_timer_(loop_), stop_timer_(loop_),
      message_memory_(message_memory(settings_)), fleet_(loop_, time, settings_, message_memory_),
      backend_rows_(time, *adapter_.codec, fleet_),
      dispatcher_(loop_, time, settings_, adapter_.names, fleet_, metrics_),
      peers_(loop_, time, settings_, fleet_, run_,
             {[this] { dispatcher_.schedule_dispatch(); }, [this] { return ready(); },
              [this] { return dispatcher_.demands(); }, [this] { return tables_.states(); },
              [this] { return dispatcher_.region_overloaded(); },
              [this] { return dispatcher_.workspaces().usage(); },
              [this] { return dispatcher_.workspaces().pressure(); },
              [this](const policy::load_summary& all) {
                  dispatcher_.workspaces().record_peers(all);
              }}),
      tables_(loop_, time, settings_, adapter_, peers_, metrics_, run_, table_events()),
      directory_(settings_, peers_.peers(), [this] { return tables_.members_available(); }),
      caller_server_(
          loop_, time,
          [this](parsed_request request, http_server::respond respond) {
              return dispatcher_.handle(std::move(request), std::move(respond));
          },
          [this] { return limits(); },
          [this](const parsed_request& request) { return dispatcher_.is_idempotent(request); }),
      readiness_server_(loop_, time, sync_handler([this](const http_request& request) {
                            const bool known = request.path == adapter_.names.readiness_path;
                            return http_response{known ? (ready() ? 200 : 503) : 404, {}, {}};
                        }),
                        service_port_limits),
      directory_server_(loop_, time, sync_handler([this](const http_request& request) {
                            return look_up(request);
                        }),
                        service_port_limits),
      metrics_server_(loop_, time, sync_handler([this](const http_request& request) {
                          return metrics_page(request);
                      }),
                      service_port_limits)
{
    caller_server_.set_id_header(adapter_.names.attempt_id);
    caller_server_.set_memory(message_memory_);
    caller_server_.set_max_connections(callers_connections(settings_));
    fleet_.set_max_connections(connection_descriptors(settings_) / 2);
    limit_service_port(readiness_server_, "readiness", min_readiness_connections);
    limit_service_port(directory_server_, "directory", directory_connections(settings_));
    limit_service_port(metrics_server_, "metrics", metrics_connections);
    caller_server_.set_head_check(
        [this](const parsed_request& head) { return dispatcher_.check_head(head); });
    caller_server_.set_refusal([this](const parsed_request& request) {
        return dispatcher_.refuse_while_stopping(request);
    });
    dispatcher_.set_config_age_source([this]() -> std::optional<milliseconds> {
        const auto states = tables_.states();
        return states.empty() ? std::nullopt : age_of(states.front(), time_.now());
    });
}

http_server::request_handler
edge_daemon::state::sync_handler(std::function<http_response(const http_request&)> answer)
{
    return [answer = std::move(answer)](const parsed_request& request,
                                        const http_server::respond& respond) {
        respond(answer(request.request));
        return http_server::cancel{};
    };
}

void edge_daemon::state::limit_service_port(http_server& server, const char* name,
                                            std::size_t max_connections)
{
    server.set_port_name(name);
    server.set_memory(
        std::make_shared<byte_budget>(mebibytes(service_port_memory_share * settings_.memory_mb)));
    server.set_max_connections(max_connections);
}

std::string edge_daemon::state::render_limits() const
{
    std::string text;
    for (const auto* server :
         {&caller_server_, &readiness_server_, &directory_server_, &metrics_server_}) {
        const auto& it = server->connections();
        const auto& counts = it.counts();
        text += fmt::format(
            "toucan_edge_connections{{port=\"{0}\"}} {1}\n"
            "toucan_edge_message_memory_bytes{{port=\"{0}\"}} {2}\n"
            "toucan_edge_message_memory_limit_bytes{{port=\"{0}\"}} {3}\n"
            "toucan_edge_connections_evicted_total{{port=\"{0}\",reason=\"memory\"}} {4}\n"
            "toucan_edge_connections_evicted_total{{port=\"{0}\",reason=\"connections\"}} {5}\n"
            "toucan_edge_connections_refused_total{{port=\"{0}\"}} {6}\n"
            "toucan_edge_requests_refused_for_memory_total{{port=\"{0}\"}} {7}\n",
            it.port(), it.size(), it.memory()->used(), it.memory()->limit(),
            counts.evicted_for_memory, counts.evicted_for_connections, counts.refused,
            counts.requests_refused);
        text += server->endings().render();
    }
    return text;
}

caller_limits edge_daemon::state::limits() const
{
    return dispatcher_.config() ? dispatcher_.config()->limits() : caller_limits{};
}

bool edge_daemon::state::listen()
{
    return caller_server_.listen(settings_.callers) &&
           readiness_server_.listen(settings_.readiness) &&
           directory_server_.listen(settings_.directory) &&
           metrics_server_.listen(settings_.metrics) && tables_.listen() && peers_.start();
}

bool edge_daemon::state::run()
{
    start_event_log();
    // By default, glibc moves this threshold up to 32 MB after large buffers are freed. Later ones
    // then come from the heap, which does not return their memory.
    ::mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    if (!listen()) {
        stop_event_log();
        return false;
    }
    log_event("start", "name={} domain={} region={} run={} callers={} store={}", settings_.name,
              settings_.failure_domain.text(), settings_.region.text(), run_,
              settings_.callers.to_string(), settings_.store.to_string());
    tables_.start();
    wait_for_signal();
    housekeeping();
    run_loop();
    log_event("stop", "in_progress={} waiting={} connections={} unanswered={}",
              caller_server_.in_progress(), dispatcher_.waiting(),
              caller_server_.sessions() + caller_server_.closing(),
              caller_server_.endings().unanswered());
    stop_event_log();
    return true;
}

void edge_daemon::state::run_loop()
{
    // An unexpected error in one handler must not end the process, which serves many callers.
    while (true) {
        try {
            loop_.run();
            return;
        }
        catch (const std::exception& ex) {
            ++metrics_.count("toucan_edge_handler_errors_total");
            log_event("handler_failed", "reason=\"{}\"", ex.what());
        }
    }
}

shared_tables::events edge_daemon::state::table_events()
{
    shared_tables::events it;
    it.operator_table.changed = [this](const table_row& row) {
        operator_changed(row);
    };
    it.operator_table.removed = [this](const std::string& key) {
        operator_removed(key);
    };
    it.backends.changed = [this](const table_row& row) {
        backend_rows_.change(row);
        dispatcher_.schedule_dispatch();
    };
    it.backends.restored = [this](const table_row& row) {
        backend_rows_.restore(row);
    };
    it.backends.removed = [this](const std::string& key) {
        backend_rows_.remove(key);
    };
    it.backends.availability_changed = [this](bool available) {
        backend_rows_.record_store_availability(available);
    };
    it.members.changed = [this](const table_row& row) {
        member_changed(row);
    };
    it.members.restored = [this](const table_row& row) {
        member_restored(row);
    };
    it.members.removed = [this](const std::string& key) {
        member_removed(key);
    };
    it.members.delivered = [this] {
        members_changed();
    };
    it.loaded = [this] {
        directory_.set_local_ready(ready());
    };
    return it;
}

void edge_daemon::state::operator_changed(const table_row& row)
{
    const auto record = adapter_.codec->classify(row);
    if (record.type == operator_record::kind::evacuation) {
        log_event("evacuate", "domain={} version={}", record.failure_domain.text(), row.version);
        fleet_.set_evacuated(record.failure_domain, true);
        return;
    }
    if (record.type != operator_record::kind::configuration) {
        return;
    }
    const auto config = adapter_.codec->decode_configuration(row);
    if (!config) {
        log_event("config_unusable", "version={} reason=\"{}\"", row.version, last_reason());
        return;
    }
    dispatcher_.set_config(config);
    directory_.set_local_ready(ready());
}

void edge_daemon::state::operator_removed(const std::string& key)
{
    const auto record = adapter_.codec->classify({key, {}, 0, true});
    if (record.type == operator_record::kind::evacuation) {
        log_event("evacuation_ended", "domain={}", record.failure_domain.text());
        fleet_.set_evacuated(record.failure_domain, false);
    }
}

void edge_daemon::state::member_changed(const table_row& row)
{
    const auto it = decode_member(row.key, row.value);
    if (!it) {
        log_event("member_unusable", "key={} reason=\"{}\"", row.key, last_reason());
        return;
    }
    directory_.apply(*it);
    removal_.record_write(it->name, time_.now());
    // A row that was there before this daemon started belongs to a daemon that is probably ready.
    peers_.add(*it, !tables_.members_loaded());
    members_dirty_ = true;
}

void edge_daemon::state::member_restored(const table_row& row)
{
    const auto it = decode_member(row.key, row.value);
    const auto* known = it ? peers_.peers().find(stable_hash(it->name)) : nullptr;
    const bool other_run = known != nullptr && known->member.run != it->run;
    if (it && (it->name == settings_.name || (other_run && peers_.peers().alive(it->name)))) {
        // A row of an earlier run. The daemon runs and writes its row again; its reports would be
        // dropped as those of an ended run.
        log_event("member_outdated", "name={} run={}", it->name, it->run);
        return;
    }
    member_changed(row);
}

void edge_daemon::state::members_changed()
{
    // Once for all rows of an answer, because the limits are divided anew.
    if (!std::exchange(members_dirty_, false)) {
        return;
    }
    std::vector<daemon_location> daemons;
    for (const auto& [name, it] : directory_.members()) {
        daemons.push_back({name, it.region});
    }
    dispatcher_.set_daemons(std::max<std::size_t>(daemons.size(), 1));
    fleet_.set_daemons(std::move(daemons));
}

void edge_daemon::state::member_removed(const std::string& key)
{
    if (key == member_key(settings_.failure_domain, settings_.name)) {
        // Another daemon has removed the row because it received no report for too long. This
        // daemon still runs, so it writes the row again.
        tables_.write_member(stopping_ ? member_state::leaving : member_state::ready);
        return;
    }
    const auto name = member_name(key);
    directory_.remove(name);
    peers_.remove(name);
    members_dirty_ = true;
}

void edge_daemon::state::housekeeping()
{
    // Armed first, so that an unexpected error does not end the housekeeping.
    housekeeping_timer_.expires_after(housekeeping_interval);
    housekeeping_timer_.async_wait([this](error_code ec) {
        if (!ec) {
            housekeeping();
        }
    });
    const auto now = time_.now();
    backend_rows_.expire();
    dispatcher_.workspaces().set_members(directory_.members().size(),
                                         peers_.peers().recent_statuses().size() + 1);
    dispatcher_.workspaces().update();
    fleet_.end_back_offs();
    fleet_.end_old_rate_limits();
    log_activity(now);
    directory_.log_changes();
    fleet_.set_reported_evacuations(peers_.newer_evacuations());
    tables_.check_peers();
    remove_expired_members();
    dispatcher_.update_plans([this](const region_name& region, std::uint32_t service) {
        return peers_.demand(region, service);
    });
    dispatcher_.schedule_dispatch();
}

void edge_daemon::state::log_activity(steady_time now)
{
    if (now < next_activity_log_) {
        return;
    }
    next_activity_log_ = now + activity_log_interval;
    log_event("activity", "{} datagrams={} backend_connections={} sessions={} waiting={}",
              tables_.activity(), peers_.datagrams_sent(), fleet_.connections_opened(),
              caller_server_.sessions(), dispatcher_.waiting());
}

void edge_daemon::state::remove_expired_members()
{
    const auto now = time_.now();
    if (stopping_ || now < last_member_check_ + member_check_interval ||
        !tables_.members_available()) {
        return;
    }
    // Only one daemon of those that hear each other sends the removals, to spare the store
    // duplicate calls.
    std::vector<std::string> names;
    if (peers_.first_relay_overall()) {
        removal_.reset();
        names = peers_.peers().silent_for(member_expiry);
    }
    else if (peers_.only_relay_heard()) {
        names = removal_.next(peers_.peers().silent_for(member_expiry), now);
    }
    else {
        return;
    }
    last_member_check_ = now;
    for (const auto& name : names) {
        log_event("member_gone", "name={} other_domains_heard={}", name,
                  !peers_.only_relay_heard());
        if (const auto it = directory_.members().find(name); it != directory_.members().end()) {
            tables_.remove_member(it->second);
        }
    }
}

void edge_daemon::state::wait_for_signal()
{
    signals_.async_wait([this](error_code ec, int number) {
        if (ec) {
            return;
        }
        if (number == SIGHUP) {
            reload();
        }
        else if (!stopping_) {
            begin_stop();
        }
        wait_for_signal();
    });
}

void edge_daemon::state::reload()
{
    const auto reloaded = read_settings_file(settings_path_);
    if (!reloaded) {
        log_event("reload", "outcome=kept reason=\"{}\"", last_reason());
        return;
    }
    settings_.limits = reloaded->limits;
    fleet_.settings_changed();
    log_event("reload", "outcome=applied");
}

void edge_daemon::state::begin_stop()
{
    stopping_ = true;
    stop_began_ = time_.now();
    log_event("stopping", "in_progress={} waiting={}", caller_server_.in_progress(),
              dispatcher_.waiting());
    directory_.set_local_ready(false);
    stop_grace_ = settings_.limits.stop_grace;
    const auto grace = stop_grace_;
    const auto accepting = std::chrono::duration_cast<milliseconds>(accepting_fraction * grace);
    dispatcher_.set_stop_schedule(
        {stop_began_ + accepting, stop_began_ + grace - last_response_margin});
    peers_.report_now();
    tables_.write_member(member_state::leaving);
    caller_server_.close_after_responses();
    check_stop();
}

void edge_daemon::state::check_stop()
{
    const auto elapsed = time_.now() - stop_began_;
    const auto grace = stop_grace_;
    bool finished = false;
    if (elapsed >= grace - end_connections_margin) {
        caller_server_.end_connections();
    }
    if (!accepting_) {
        // Not earlier, because callers may send a request on an open connection at any time.
        if (elapsed >= grace - last_response_margin) {
            caller_server_.close_idle_connections();
        }
        finished = caller_server_.sessions() == 0 && caller_server_.closing() == 0;
    }
    else if (elapsed >= accepting_fraction * grace) {
        accepting_ = false;
        caller_server_.stop_accepting();
    }
    if (finished || elapsed >= grace - forced_end_margin) {
        loop_.stop();
        return;
    }
    stop_timer_.expires_after(stop_check_interval);
    stop_timer_.async_wait([this](error_code ec) {
        if (!ec) {
            check_stop();
        }
    });
}

http_response edge_daemon::state::look_up(const http_request& request) const
{
    const std::string_view target = request.path;
    if (target.substr(0, target.find('?')) != adapter_.names.directory_path) {
        return {404, {}, {}};
    }
    const failure_domain_name domain(
        std::string(query_value(target, adapter_.names.directory_failure_domain)));
    const region_name region(std::string(query_value(target, adapter_.names.directory_region)));
    const auto addresses = directory_.addresses(domain, region);
    if (addresses.empty() || !tables_.loaded()) {
        return {503, {}, {}};
    }
    const auto lifetime = std::min(directory_lifetime, settings_.limits.max_directory_lifetime);
    return text_response(200, "application/json",
                         adapter_.names.directory_answer(
                             addresses, std::chrono::duration<double>(lifetime).count()));
}

http_response edge_daemon::state::metrics_page(const http_request& request)
{
    if (request.path == "/state") {
        return text_response(200, "application/json", state_dump());
    }
    if (request.path != "/metrics") {
        return {404, {}, {}};
    }
    auto text = metrics_.render();
    text +=
        fmt::format("toucan_edge_waiting {}\ntoucan_edge_in_progress {}\n"
                    "toucan_edge_sessions {}\ntoucan_edge_backend_connections_total {}\n"
                    "toucan_edge_backend_connections {}\ntoucan_edge_config_version {}\n",
                    dispatcher_.waiting(), caller_server_.in_progress(), caller_server_.sessions(),
                    fleet_.connections_opened(), fleet_.open_connections(),
                    dispatcher_.config() ? dispatcher_.config()->version() : 0);
    const auto daemons = directory_.state();
    text += fmt::format("toucan_edge_daemons{{state=\"row\"}} {}\n"
                        "toucan_edge_daemons{{state=\"alive\"}} {}\n"
                        "toucan_edge_daemons{{state=\"named\"}} {}\n",
                        daemons.rows, daemons.alive, daemons.named);
    for (const auto& [key, it] : fleet_.all()) {
        text += fmt::format("toucan_edge_kept_share{{backend=\"{}\"}} {:.3f}\n",
                            it->record.name.text(), it->kept.share());
    }
    text += tables_.render_states();
    text += render_limits();
    return text_response(200, "text/plain; version=0.0.4", std::move(text));
}

std::string edge_daemon::state::state_dump()
{
    nlohmann::json dump = {
        {"name", settings_.name},
        {"ready", ready()},
        {"stopping", stopping_},
        {"config_version", dispatcher_.config() ? dispatcher_.config()->version() : 0},
        {"waiting", dispatcher_.waiting()}};
    for (const auto& [key, it] : fleet_.all()) {
        dump["backends"][it->record.name.text()] = {
            {"service", it->record.service.text()},
            {"address", it->record.address.to_string()},
            {"region", it->region.text()},
            {"failure_domain", it->record.failure_domain.text()},
            {"own_load", it->local_load},
            {"peer_load", it->peer_load},
            {"estimated_load", fleet_.load(*it)},
            {"stated_slowness", it->estimate.slowness(time_.now())},
            {"kept_share", it->kept.share()},
            {"leaving", it->leaving()},
            {"back_off_ms",
             std::chrono::duration_cast<milliseconds>(fleet_.back_off_left(*it)).count()},
            {"available", fleet_.available(*it, time_.now())},
            {"rate_limit", it->rate.limit() ? nlohmann::json(*it->rate.limit()) : nlohmann::json()},
            {"failures", it->health.failure_share()},
            {"slowness", it->health.slowness()},
            {"connections", it->connections}};
    }
    dump["workspaces"] = dispatcher_.workspaces().state();
    for (const auto& [name, it] : directory_.members()) {
        dump["members"][name] = {{"callers", it.callers.to_string()},
                                 {"alive", name == settings_.name || peers_.peers().alive(name)}};
    }
    return dump.dump(2);
}

edge_daemon::edge_daemon(settings daemon_settings, std::string settings_path,
                         deployment_adapter adapter, const clock& time)
    : state_(std::make_unique<state>(std::move(daemon_settings), std::move(settings_path),
                                     std::move(adapter), time))
{
}

edge_daemon::~edge_daemon() = default;

bool edge_daemon::run()
{
    return state_->run();
}

} // namespace toucan::edge