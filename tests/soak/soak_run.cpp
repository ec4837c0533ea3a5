#include "soak_run.h"

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
constexpr const char* services[] = {"desk", "archive"};
constexpr std::size_t backends_per_service_and_domain = 2;

constexpr std::uint16_t callers_port = 8144;
constexpr std::uint16_t readiness_port = 8140;
constexpr std::uint16_t directory_port = 8143;
constexpr std::uint16_t peers_port = 7660;
constexpr std::uint16_t metrics_port = 9102;
constexpr std::uint16_t store_port = 8142;
constexpr std::uint16_t backend_port = 8200;
/// Hosts in the loopback range of a run: the store, then daemons, backend servers and proxies.
constexpr std::size_t store_host = 1;
constexpr std::size_t first_daemon_host = 10;
constexpr std::size_t first_backend_host = 100;
constexpr std::size_t first_store_proxy_host = 150;

constexpr milliseconds start_time{1500};
constexpr milliseconds stop_grace{6000};
/// Everything is calm: daemons restart, answers are found again.
constexpr seconds recovery_time{15};
constexpr seconds calm_time{3};
constexpr milliseconds restart_pause{300};
constexpr milliseconds settle_time{400};

} // namespace

soak_run::soak_run(soak_options options)
    : options_(std::move(options)), random_(options_.seed), store_(loop_, time_)
{
}

vm_address soak_run::address(std::size_t host, std::uint16_t port) const
{
    // Each process has its own part of the loopback range, so that runs do not meet.
    const auto own = static_cast<std::uint32_t>(getpid());
    const std::uint32_t ip = 0x7f000000U | (64U + (own >> 8U) % 128U) << 16U | (own % 256U) << 8U |
                             static_cast<std::uint32_t>(host);
    return {ip, port};
}

void soak_run::log(const std::string& event)
{
    events_.push_back(
        fmt::format("{:6} ms  {}",
                    std::chrono::duration_cast<milliseconds>(time_.now() - began_).count(), event));
}

void soak_run::later(duration time, std::function<void()> what)
{
    const auto timer = std::make_shared<edge::asio::steady_timer>(loop_, time);
    timer->async_wait([timer, what = std::move(what)](edge::error_code) { what(); });
}

soak_run::duration soak_run::draw_time(int least_ms, int most_ms)
{
    return duration(least_ms +
                    static_cast<int>(draw(static_cast<std::size_t>(most_ms - least_ms))));
}

void soak_run::disturb(std::size_t n, duration time)
{
    record_.daemon_disturbances[n].push_back({time_.now(), time_.now() + time});
}

void soak_run::disturb_all(duration time)
{
    record_.disturbances.push_back({time_.now(), time_.now() + time});
}

void soak_run::write_configuration()
{
    // The moved route goes to the other service with each version.
    const char* moved_to = services[config_version_ % 2];
    ++config_version_;
    const auto route = [](const char* prefix, const char* service, bool idempotent) {
        return nlohmann::json{
            {"host", "a.example"},   {"prefix", prefix},
            {"service", service},    {"route_type", idempotent ? "safe" : "unsafe"},
            {"timeout_s", 2.0},      {"target_latency_s", 0.4},
            {"priority", 1},         {"max_attempts", 3},
            {"cache_affinity", true}};
    };
    nlohmann::json routes = {{"read", route("/read/", "desk", true)},
                             {"write", route("/write/", "desk", false)},
                             {"home", route(home_prefix, "archive", true)},
                             {"moved", route(moved_prefix, moved_to, true)}};
    routes["home"]["allowed_regions"] = {home_region};
    nlohmann::json all = {{"version", config_version_ * 7}, {"routes", routes}};
    for (const auto* it : services) {
        all["services"][it] = {{"health_path", "/health"},
                               {"max_connections", 200},
                               {"cold_start_s", 3.0},
                               {"warmup_per_s", 10.0}};
    }
    all["limits"] = {{"max_header_bytes", 16384},
                     {"max_body_bytes", 1048576},
                     {"header_timeout_s", 5.0},
                     {"idle_timeout_s", 10.0}};
    store_.put("op", "config", all);
    record_.changes.push_back({acknowledged_change::kind::moved, moved_to, time_.now()});
}

void soak_run::build()
{
    if (!store_.listen(address(store_host, store_port))) {
        throw std::runtime_error("the store cannot listen");
    }
    write_configuration();
    std::size_t host = first_backend_host;
    for (const auto& domain : domains) {
        for (const auto* service : services) {
            for (std::size_t n = 0; n < backends_per_service_and_domain; ++n, ++host) {
                backend_place place{fmt::format("{}-{}-{}", service, domain.name, n),
                                    service,
                                    domain.name,
                                    domain.region,
                                    address(host, backend_port),
                                    address(host, backend_port + 1)};
                backends_.push_back(std::make_unique<soak_backend>(loop_, time_, place, store_,
                                                                   record_, random_()));
                backends_.back()->start(false);
            }
        }
        for (std::size_t n = 0; n < options_.daemons_per_domain; ++n) {
            const auto own = first_daemon_host + places_.size();
            places_.push_back({address(own, callers_port), address(own, directory_port),
                               domain.name, domain.region, 0});
            daemon it;
            it.store_link = std::make_unique<fault_proxy>(
                loop_, address(first_store_proxy_host + daemons_.size(), store_port),
                address(store_host, store_port));
            daemons_.push_back(std::move(it));
            start_daemon(daemons_.size() - 1);
        }
    }
    for (std::size_t n = 0; n < options_.callers; ++n) {
        callers_.push_back(std::make_unique<soak_caller>(loop_, time_, places_, record_, random_(),
                                                         fmt::format("c{}", n)));
    }
}

void soak_run::start_daemon(std::size_t n)
{
    auto& it = daemons_[n];
    const auto& place = places_[n];
    const auto own = first_daemon_host + n;
    it.settings = fmt::format("{}/entry-{}.toml", options_.folder, n);
    std::ofstream out(it.settings);
    out << fmt::format("[daemon]\nname = \"entry-{}\"\nfailure_domain = \"{}\"\nregion = \"{}\"\n"
                       "[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\ndirectory = \"{}\"\n"
                       "peers = \"{}\"\nmetrics = \"{}\"\n[store]\naddress = \"{}\"\n[regions]\n",
                       n, place.failure_domain, place.region, place.callers.to_string(),
                       address(own, readiness_port).to_string(), place.directory.to_string(),
                       address(own, peers_port).to_string(), address(own, metrics_port).to_string(),
                       address(first_store_proxy_host + n, store_port).to_string());
    for (const auto& domain : domains) {
        out << fmt::format("{} = \"{}\"\n", domain.name, domain.region);
    }
    out << fmt::format("[bounds]\nstop_grace_s = {}\nretry_extra = 120\n",
                       std::chrono::duration<double>(stop_grace).count());
    out.close();
    it.ending = false;
    ++places_[n].run;
    it.process = std::make_unique<test::child_process>(
        options_.program, std::vector<std::string>{"edge", "--settings", it.settings},
        fmt::format("{}/entry-{}.log", options_.folder, n));
}

void soak_run::restart_daemon(std::size_t n)
{
    later(restart_pause, [this, n] {
        log(fmt::format("start daemon {}", n));
        disturb(n, start_time);
        start_daemon(n);
    });
}

void soak_run::watch_processes()
{
    for (std::size_t n = 0; n < daemons_.size(); ++n) {
        auto& it = daemons_[n];
        if (!it.process || it.process->running()) {
            continue;
        }
        if (!it.ending) {
            record_.crashes.push_back(fmt::format("daemon {} ended by itself", n));
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
        watch_processes();
    }
}

std::vector<std::string> soak_run::play()
{
    began_ = time_.now();
    build();
    run_for(start_time);
    for (const auto& it : callers_) {
        it->start();
    }
    run_for(calm_time);
    faults_end_ = time_.now() + options_.faults;
    next_fault();
    run_for(options_.faults + recovery_time);
    record_.calm_from = time_.now();
    run_for(calm_time);
    for (const auto& it : callers_) {
        it->stop();
    }
    record_.end = time_.now();
    run_for(settle_time);
    for (auto& it : daemons_) {
        if (it.process) {
            it.process->term();
            it.ending = true;
        }
    }
    return broken_promises(record_, {});
}

void soak_run::next_fault()
{
    if (time_.now() >= faults_end_) {
        return;
    }
    using fault = void (soak_run::*)();
    // Some kinds stand twice: they meet the others more often.
    static constexpr fault kinds[] = {&soak_run::harm_daemon,
                                      &soak_run::harm_daemon,
                                      &soak_run::stop_daemon,
                                      &soak_run::stop_daemon,
                                      &soak_run::harm_store,
                                      &soak_run::harm_store_link,
                                      &soak_run::harm_backend,
                                      &soak_run::harm_backend,
                                      &soak_run::replace_backend,
                                      &soak_run::replace_backend,
                                      &soak_run::change_configuration,
                                      &soak_run::change_configuration,
                                      &soak_run::evacuate};
    (this->*kinds[draw(std::size(kinds))])();
    later(draw_time(100, 1500), [this] { next_fault(); });
}

void soak_run::harm_daemon()
{
    const auto n = draw(daemons_.size());
    auto& it = daemons_[n];
    if (!it.process || it.ending) {
        return;
    }
    if (draw(2) == 0) {
        log(fmt::format("kill daemon {}", n));
        it.ending = true;
        disturb(n, restart_pause + start_time);
        it.process->kill();
        return;
    }
    const auto time = draw_time(200, 3000);
    log(fmt::format("freeze daemon {} for {} ms", n, time.count()));
    disturb(n, time);
    it.process->stop();
    later(time, [this, n, pid = it.process->pid()] {
        if (daemons_[n].process && daemons_[n].process->pid() == pid) {
            daemons_[n].process->cont();
        }
    });
}

void soak_run::stop_daemon()
{
    const auto n = draw(daemons_.size());
    auto& it = daemons_[n];
    if (!it.process || it.ending) {
        return;
    }
    if (draw(3) == 0) {
        log(fmt::format("SIGHUP daemon {}", n));
        ::kill(it.process->pid(), SIGHUP);
        return;
    }
    log(fmt::format("stop daemon {}", n));
    it.ending = true;
    record_.stops.emplace_back(n, time_.now());
    it.process->term();
    later(stop_grace, [this, n, pid = it.process->pid()] {
        if (daemons_[n].process && daemons_[n].process->pid() == pid) {
            log(fmt::format("kill daemon {}, which did not stop", n));
            daemons_[n].process->kill();
        }
    });
}

void soak_run::harm_store()
{
    const auto time = draw_time(500, 4000);
    const auto what = static_cast<store_fault>(1 + draw(4));
    log(fmt::format("store fault {} for {} ms", static_cast<int>(what), time.count()));
    disturb_all(time);
    store_.set_fault(what);
    later(time, [this] { store_.set_fault(store_fault::none); });
}

void soak_run::harm_store_link()
{
    const auto n = draw(daemons_.size());
    const auto time = draw_time(500, 4000);
    const auto what = static_cast<link_fault>(1 + draw(4));
    log(fmt::format("store link of daemon {}: fault {} for {} ms", n, static_cast<int>(what),
                    time.count()));
    // A connection that fell silent stays so; the daemon finds out by itself.
    disturb(n, time);
    daemons_[n].store_link->set_fault(what);
    later(time, [this, n] { daemons_[n].store_link->set_fault(link_fault::none); });
}

soak_backend* soak_run::draw_backend()
{
    auto* it = backends_[draw(backends_.size())].get();
    return it->running() ? it : nullptr;
}

void soak_run::harm_backend()
{
    auto* it = draw_backend();
    if (it == nullptr) {
        return;
    }
    const auto time = draw_time(300, 4000);
    if (draw(2) == 0) {
        const auto what = static_cast<link_fault>(1 + draw(4));
        log(fmt::format("link of {}: fault {} for {} ms", it->place().name, static_cast<int>(what),
                        time.count()));
        it->set_link_fault(what);
        later(time, [it] { it->set_link_fault(link_fault::none); });
        return;
    }
    const auto what = static_cast<backend_fault>(1 + draw(6));
    log(fmt::format("{}: fault {} for {} ms", it->place().name, static_cast<int>(what),
                    time.count()));
    it->set_fault(what);
    later(time, [it] { it->set_fault(backend_fault::none); });
}

void soak_run::replace_backend()
{
    auto* it = draw_backend();
    if (it == nullptr) {
        return;
    }
    const bool planned = draw(2) == 0;
    log(fmt::format("{} {}", planned ? "empty" : "crash", it->place().name));
    const auto gone = planned ? draw_time(3500, 5000) : milliseconds(0);
    if (planned) {
        it->leave();
    }
    later(gone, [it] {
        if (it->running()) {
            it->crash();
        }
    });
    later(gone + draw_time(300, 2500), [this, it] {
        if (!it->running()) {
            log(fmt::format("start {} cold", it->place().name));
            it->start(true);
        }
    });
}

void soak_run::change_configuration()
{
    const auto changes = 1 + draw(3);
    for (std::size_t n = 0; n < changes; ++n) {
        later(milliseconds(330 * n), [this] {
            write_configuration();
            log(fmt::format("configuration {}", config_version_ * 7));
        });
    }
}

void soak_run::evacuate()
{
    if (evacuations_ > 0) {
        return;
    }
    ++evacuations_;
    const std::string name = domains[1 + draw(2)].name;
    const auto time = draw_time(1000, 8000);
    log(fmt::format("evacuate {} for {} ms", name, time.count()));
    store_.put("op", "evacuate/" + name, nlohmann::json::object());
    record_.changes.push_back({acknowledged_change::kind::evacuated, name, time_.now()});
    later(time, [this, name] {
        store_.remove("op", "evacuate/" + name);
        record_.changes.push_back({acknowledged_change::kind::evacuation_ended, name, time_.now()});
        --evacuations_;
    });
}

} // namespace toucan::soak
