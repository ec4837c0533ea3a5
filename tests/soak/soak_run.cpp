#include "soak_run.h"

#include "daemon_log.h"
#include "soak_configuration.h"

#include <fmt/format.h>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace toucan::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct domain {
    const char* name;
    const char* region;
};
constexpr domain domains[] = {{"west-a", "west"}, {"west-b", "west"}, {"east-a", "east"}};
/// Failure domain of a server of which the region has no other.
constexpr domain small_domain = {"north-a", "north"};
constexpr const char* services[] = {desk_service, archive_service};
constexpr std::size_t backends_per_service_and_domain = 2;

constexpr std::uint16_t callers_port = 8144;
constexpr std::uint16_t readiness_port = 8140;
constexpr std::uint16_t directory_port = 8143;
constexpr std::uint16_t peers_port = 7660;
constexpr std::uint16_t metrics_port = 9102;
/// Port of the proxies of the first delay class; those of further classes follow.
constexpr std::uint16_t first_delayed_port = 8160;
constexpr std::uint16_t store_port = 8142;
constexpr std::uint16_t backend_port = 8200;
/// Last octets of the addresses of the store, the daemons, the backend servers, the proxies of
/// the daemons, and the further servers that change.
constexpr std::size_t store_host = 1;
constexpr std::size_t first_daemon_host = 10;
constexpr std::size_t first_backend_host = 100;
constexpr std::size_t first_proxy_host = 150;
constexpr std::size_t first_changing_host = 120;

/// Links of callers with different delays to each daemon.
constexpr std::uint16_t delay_classes = 3;
/// The delay of a link in each direction is at least min_link_delay_ms and less than
/// link_delay_range_ms longer.
constexpr int min_link_delay_ms = 5;
constexpr int link_delay_range_ms = 76;

constexpr milliseconds startup_time{1500};
constexpr milliseconds stop_grace{6000};
/// Time after the last fault begins, for faults to end and for daemons to restart.
constexpr seconds recovery_time{15};
/// Time without new faults before the first fault, and time of the recovery check.
constexpr seconds steady_phase_time{3};
constexpr milliseconds restart_pause{300};
/// Time for requests in progress to end after the callers stop.
constexpr milliseconds completion_time{400};

} // namespace

soak_run::soak_run(soak_options options)
    : options_(std::move(options)), random_(options_.seed), link_random_(options_.seed),
      store_(loop_, time_)
{
}

vm_address soak_run::address(std::size_t host, std::uint16_t port) const
{
    // The process id selects a part of the loopback range, so that concurrent runs do not
    // share addresses.
    const auto pid = static_cast<std::uint32_t>(getpid());
    const std::uint32_t ip = 0x7f000000U | (64U + (pid >> 8U) % 128U) << 16U | (pid % 256U) << 8U |
                             static_cast<std::uint32_t>(host);
    return {ip, port};
}

void soak_run::log(const std::string& event)
{
    events_.push_back(
        fmt::format("{:6} ms  {}",
                    std::chrono::duration_cast<milliseconds>(time_.now() - start_).count(), event));
}

void soak_run::run_after(duration time, std::function<void()> action)
{
    const auto timer = std::make_shared<edge::asio::steady_timer>(loop_, time);
    timer->async_wait([timer, action = std::move(action)](edge::error_code) { action(); });
}

soak_run::duration soak_run::random_time(int min_ms, int max_ms)
{
    return duration(min_ms +
                    static_cast<int>(random_below(static_cast<std::size_t>(max_ms - min_ms))));
}

void soak_run::add_fault_window(std::size_t n, duration time)
{
    record_.daemon_fault_windows[n].push_back({time_.now(), time_.now() + time});
}

void soak_run::add_global_fault_window(duration time)
{
    record_.fault_windows.push_back({time_.now(), time_.now() + time});
}

void soak_run::write_configuration()
{
    const auto it = make_configuration(++config_version_, time_.now());
    store_.put("op", "config", to_json(it));
    record_.configurations.push_back(it);
    record_.changes.push_back({acknowledged_change::kind::moved, moved_service(it), time_.now()});
}

void soak_run::build_deployment()
{
    if (!store_.listen(address(store_host, store_port))) {
        throw std::runtime_error("stand-in of the store cannot listen on its loopback address");
    }
    write_configuration();
    std::size_t host = first_backend_host;
    for (const auto& domain : domains) {
        for (const auto* service : services) {
            for (std::size_t n = 0; n < backends_per_service_and_domain; ++n, ++host) {
                backend_config config{fmt::format("{}-{}-{}", service, domain.name, n),
                                      service,
                                      domain.name,
                                      domain.region,
                                      address(host, backend_port),
                                      address(host, backend_port + 1)};
                backends_.push_back(std::make_unique<soak_backend>(loop_, time_, config, store_,
                                                                   record_, random_()));
                backends_.back()->start(false);
            }
        }
        for (std::size_t n = 0; n < options_.daemons_per_domain; ++n) {
            add_daemon(domain.name, domain.region);
        }
    }
    add_callers();
    add_server_changes();
}

void soak_run::add_server_changes()
{
    const auto next_address = [this, next_host = first_changing_host]() mutable {
        return address(next_host++, backend_port);
    };
    server_changes_ = std::make_unique<soak_server_changes>(
        soak_server_changes::environment{loop_, time_, store_, record_, next_address,
                                         [this](const std::string& event) { log(event); },
                                         options_.cold_restarts},
        options_.seed);
}

void soak_run::add_daemon(const char* failure_domain, const char* region)
{
    const auto n = daemons_.size();
    const auto host = first_daemon_host + n;
    const auto proxy_host = first_proxy_host + n;
    daemon_endpoints endpoints{address(host, callers_port), address(host, directory_port),
                               failure_domain, region};
    daemon it;
    it.store_link = std::make_unique<fault_proxy>(loop_, address(proxy_host, store_port),
                                                  address(store_host, store_port));
    for (std::uint16_t k = 0; k < delay_classes; ++k) {
        const auto listen = address(proxy_host, static_cast<std::uint16_t>(first_delayed_port + k));
        const milliseconds delay(min_link_delay_ms +
                                 static_cast<int>(link_random_() % link_delay_range_ms));
        endpoints.delayed_callers.push_back(listen);
        it.caller_links.push_back(
            std::make_unique<fault_proxy>(loop_, listen, endpoints.callers, delay));
    }
    endpoints_.push_back(std::move(endpoints));
    daemons_.push_back(std::move(it));
    start_daemon(n);
}

void soak_run::add_callers()
{
    for (std::size_t n = 0; n < options_.callers; ++n) {
        callers_.push_back(std::make_unique<soak_caller>(loop_, time_, endpoints_, record_,
                                                         random_(), fmt::format("c{}", n)));
    }
    for (std::size_t n = 0; n < options_.pipeline_callers; ++n) {
        pipeline_callers_.push_back(std::make_unique<soak_pipeline_caller>(
            loop_, time_, endpoints_, record_, random_(), fmt::format("p{}", n),
            n % 2 == 0 ? std::nullopt : std::optional(n % delay_classes)));
    }
    for (std::size_t n = 0; n < options_.upload_callers; ++n) {
        upload_callers_.push_back(std::make_unique<soak_upload_caller>(
            loop_, time_, endpoints_, record_, random_(), fmt::format("u{}", n)));
    }
    for (std::size_t n = 0; n < options_.idle_callers; ++n) {
        idle_callers_.push_back(
            std::make_unique<soak_idle_caller>(loop_, time_, endpoints_, record_, link_random_(),
                                               fmt::format("i{}", n), n % delay_classes));
    }
}

std::string soak_run::log_path(std::size_t n) const
{
    return fmt::format("{}/entry-{}.log", options_.folder, n);
}

void soak_run::start_daemon(std::size_t n)
{
    auto& it = daemons_[n];
    const auto& endpoints = endpoints_[n];
    const auto host = first_daemon_host + n;
    it.settings = fmt::format("{}/entry-{}.toml", options_.folder, n);
    std::ofstream out(it.settings);
    out << fmt::format(
        "[daemon]\nname = \"entry-{}\"\nfailure_domain = \"{}\"\nregion = \"{}\"\n"
        "memory_mb = {}\n[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\ndirectory = \"{}\"\n"
        "peers = \"{}\"\nmetrics = \"{}\"\n[store]\naddress = \"{}\"\n[regions]\n",
        n, endpoints.failure_domain, endpoints.region, promised_bounds{}.memory_mb,
        endpoints.callers.to_string(), address(host, readiness_port).to_string(),
        endpoints.directory.to_string(), address(host, peers_port).to_string(),
        address(host, metrics_port).to_string(),
        address(first_proxy_host + n, store_port).to_string());
    for (const auto& domain : domains) {
        out << fmt::format("{} = \"{}\"\n", domain.name, domain.region);
    }
    out << fmt::format("{} = \"{}\"\n", small_domain.name, small_domain.region);
    out << fmt::format("[bounds]\nstop_grace_s = {}\nretry_extra = 120\n",
                       std::chrono::duration<double>(stop_grace).count());
    out.close();
    it.exit_expected = false;
    ++endpoints_[n].run;
    it.process = std::make_unique<test::child_process>(
        options_.program, std::vector<std::string>{"edge", "--settings", it.settings}, log_path(n));
}

void soak_run::restart_daemon(std::size_t n)
{
    run_after(restart_pause, [this, n] {
        log(fmt::format("start daemon {}", n));
        add_fault_window(n, startup_time);
        start_daemon(n);
    });
}

void soak_run::restart_exited_daemons()
{
    for (std::size_t n = 0; n < daemons_.size(); ++n) {
        auto& it = daemons_[n];
        if (!it.process || it.process->running()) {
            continue;
        }
        if (!it.exit_expected) {
            record_.crashes.push_back(fmt::format("daemon {} exited unexpectedly", n));
        }
        it.process.reset();
        restart_daemon(n);
    }
}

void soak_run::run_for(duration time)
{
    const auto end = time_.now() + time;
    while (time_.now() < end) {
        loop_.run_for(milliseconds(20));
        restart_exited_daemons();
        record_memory();
    }
}

void soak_run::read_daemon_logs()
{
    for (std::size_t n = 0; n < daemons_.size(); ++n) {
        std::ifstream log(log_path(n));
        for (auto& it : read_unanswered(log)) {
            it.line = fmt::format("daemon {}: {}", n, it.line);
            record_.unanswered.push_back(std::move(it));
        }
    }
}

void soak_run::record_memory()
{
    for (const auto& it : daemons_) {
        std::ifstream status(it.process ? fmt::format("/proc/{}/status", it.process->pid())
                                        : std::string());
        for (std::string line; std::getline(status, line);) {
            std::size_t kib = 0;
            if (std::sscanf(line.c_str(), "VmHWM: %zu kB", &kib) == 1) {
                record_.peak_memory_mb = std::max(record_.peak_memory_mb, kib / 1024);
            }
        }
    }
}

std::vector<std::string> soak_run::run()
{
    start_ = time_.now();
    build_deployment();
    run_for(startup_time);
    for (const auto& it : callers_) {
        it->start();
    }
    for (const auto& it : pipeline_callers_) {
        it->start();
    }
    for (const auto& it : upload_callers_) {
        it->start();
    }
    for (const auto& it : idle_callers_) {
        it->start();
    }
    run_for(steady_phase_time);
    faults_end_ = time_.now() + options_.faults;
    inject_next_fault();
    server_changes_->start(faults_end_);
    run_for(options_.faults + recovery_time);
    record_.recovery_check_start = time_.now();
    run_for(steady_phase_time);
    for (const auto& it : callers_) {
        it->stop();
    }
    for (const auto& it : pipeline_callers_) {
        it->stop();
    }
    for (const auto& it : upload_callers_) {
        it->stop();
    }
    for (const auto& it : idle_callers_) {
        it->stop();
    }
    record_.end = time_.now();
    run_for(completion_time);
    read_daemon_logs();
    for (auto& it : daemons_) {
        if (it.process) {
            it.process->terminate();
            it.exit_expected = true;
        }
    }
    return broken_promises(record_, {});
}

void soak_run::inject_next_fault()
{
    if (time_.now() >= faults_end_) {
        return;
    }
    using inject = void (soak_run::*)();
    // Kinds listed twice are drawn twice as often, so that they coincide with others more often.
    static constexpr inject kinds[] = {
        &soak_run::kill_or_freeze_daemon,  &soak_run::kill_or_freeze_daemon,
        &soak_run::stop_or_reload_daemon,  &soak_run::stop_or_reload_daemon,
        &soak_run::inject_store_fault,     &soak_run::inject_store_link_fault,
        &soak_run::inject_backend_fault,   &soak_run::inject_backend_fault,
        &soak_run::replace_backend,        &soak_run::replace_backend,
        &soak_run::publish_configurations, &soak_run::publish_configurations,
        &soak_run::evacuate_domain};
    (this->*kinds[random_below(std::size(kinds))])();
    run_after(random_time(100, 1500), [this] { inject_next_fault(); });
}

void soak_run::kill_or_freeze_daemon()
{
    const auto n = random_below(daemons_.size());
    auto& it = daemons_[n];
    if (!it.process || it.exit_expected) {
        return;
    }
    if (random_below(2) == 0) {
        log(fmt::format("kill daemon {}", n));
        it.exit_expected = true;
        add_fault_window(n, restart_pause + startup_time);
        it.process->kill();
        return;
    }
    const auto time = random_time(200, 3000);
    log(fmt::format("freeze daemon {} for {} ms", n, time.count()));
    add_fault_window(n, time);
    it.process->suspend();
    run_after(time, [this, n, pid = it.process->pid()] {
        if (daemons_[n].process && daemons_[n].process->pid() == pid) {
            daemons_[n].process->resume();
        }
    });
}

void soak_run::stop_or_reload_daemon()
{
    const auto n = random_below(daemons_.size());
    auto& it = daemons_[n];
    if (!it.process || it.exit_expected) {
        return;
    }
    if (random_below(3) == 0) {
        log(fmt::format("SIGHUP daemon {}", n));
        ::kill(it.process->pid(), SIGHUP);
        return;
    }
    log(fmt::format("stop daemon {}", n));
    it.exit_expected = true;
    record_.stops.emplace_back(n, time_.now());
    it.process->terminate();
    run_after(stop_grace, [this, n, pid = it.process->pid()] {
        if (daemons_[n].process && daemons_[n].process->pid() == pid) {
            log(fmt::format("kill daemon {}, which did not stop within its grace time", n));
            daemons_[n].process->kill();
        }
    });
}

void soak_run::inject_store_fault()
{
    const auto time = random_time(500, 4000);
    const auto fault = static_cast<store_fault>(1 + random_below(4));
    log(fmt::format("store fault {} for {} ms", static_cast<int>(fault), time.count()));
    add_global_fault_window(time);
    store_.set_fault(fault);
    run_after(time, [this] { store_.set_fault(store_fault::none); });
}

void soak_run::inject_store_link_fault()
{
    const auto n = random_below(daemons_.size());
    const auto time = random_time(500, 4000);
    const auto fault = static_cast<link_fault>(1 + random_below(4));
    log(fmt::format("store link of daemon {}: fault {} for {} ms", n, static_cast<int>(fault),
                    time.count()));
    // A connection that lost data delivers nothing more; the daemon has to detect that.
    add_fault_window(n, time);
    daemons_[n].store_link->set_fault(fault);
    run_after(time, [this, n] { daemons_[n].store_link->set_fault(link_fault::none); });
}

soak_backend* soak_run::random_running_backend()
{
    auto* it = backends_[random_below(backends_.size())].get();
    return it->running() ? it : nullptr;
}

void soak_run::inject_backend_fault()
{
    auto* it = random_running_backend();
    if (it == nullptr) {
        return;
    }
    const auto time = random_time(300, 4000);
    if (random_below(2) == 0) {
        const auto fault = static_cast<link_fault>(1 + random_below(4));
        log(fmt::format("link of {}: fault {} for {} ms", it->config().name,
                        static_cast<int>(fault), time.count()));
        it->set_link_fault(fault);
        run_after(time, [it] { it->set_link_fault(link_fault::none); });
        return;
    }
    const auto fault = static_cast<backend_fault>(1 + random_below(backend_faults));
    log(fmt::format("{}: fault {} for {} ms", it->config().name, static_cast<int>(fault),
                    time.count()));
    it->set_fault(fault);
    run_after(time, [it] { it->set_fault(backend_fault::none); });
}

void soak_run::replace_backend()
{
    auto* it = random_running_backend();
    if (it == nullptr) {
        return;
    }
    const bool planned = random_below(2) == 0;
    log(fmt::format("{} {}", planned ? "empty" : "crash", it->config().name));
    const auto exit_delay = planned ? random_time(3500, 5000) : milliseconds(0);
    if (planned) {
        it->start_leaving();
    }
    run_after(exit_delay, [it] {
        if (it->running()) {
            it->crash();
        }
    });
    run_after(exit_delay + random_time(300, 2500), [this, it] {
        if (!it->running()) {
            log(fmt::format("start {} cold", it->config().name));
            it->start(true);
        }
    });
}

void soak_run::publish_configurations()
{
    const auto changes = 1 + random_below(3);
    for (std::size_t n = 0; n < changes; ++n) {
        run_after(milliseconds(330 * n), [this] {
            write_configuration();
            log(fmt::format("configuration {}", record_.configurations.back().version));
        });
    }
}

void soak_run::evacuate_domain()
{
    if (active_evacuations_ > 0) {
        return;
    }
    ++active_evacuations_;
    const std::string name = domains[1 + random_below(2)].name;
    const auto time = random_time(1000, 8000);
    log(fmt::format("evacuate {} for {} ms", name, time.count()));
    store_.put("op", "evacuate/" + name, nlohmann::json::object());
    record_.changes.push_back({acknowledged_change::kind::evacuated, name, time_.now()});
    run_after(time, [this, name] {
        store_.remove("op", "evacuate/" + name);
        record_.changes.push_back({acknowledged_change::kind::evacuation_ended, name, time_.now()});
        --active_evacuations_;
    });
}

} // namespace toucan::soak
