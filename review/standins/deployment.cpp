#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <random>
#include <sstream>
#include <stdexcept>

namespace toucan::review {

namespace {

using nlohmann::json;

constexpr milliseconds start_limit{15000};
constexpr milliseconds poll_step{50};
constexpr unsigned max_network_tries = 50;

std::string read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        throw std::runtime_error("cannot read " + path);
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

void replace_all(std::string& text, const std::string& what, const std::string& with)
{
    for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at)) {
        text.replace(at, what.size(), with);
        at += with.size();
    }
}

} // namespace

deployment::deployment(std::string root, std::string folder, record& out)
    : root_(std::move(root)), folder_(std::move(folder)), record_(out)
{
    std::random_device random;
    const std::array<std::uint16_t, 5> ports{8140, 8143, 8144, 7660, 9102};
    for (unsigned n = 0; n < max_network_tries && network_.empty(); ++n) {
        const auto network = "127." + std::to_string(1 + random() % 250) + "." +
                             std::to_string(random() % 250) + ".";
        bool free = is_free({network + "1", 8142});
        for (unsigned ip = 2; ip < 40; ++ip) {
            for (const auto port : ports) {
                free = free && is_free({network + std::to_string(ip), port});
            }
        }
        network_ = free ? network : std::string();
    }
    if (network_.empty()) {
        throw std::runtime_error("no free loopback addresses");
    }
    store_address_ = {next_ip(), 8142};
    store_ = std::make_unique<store>(store_address_);
}

deployment::~deployment()
{
    for (auto& it : machines_) {
        if (it.process > 0) {
            ::kill(it.process, SIGKILL);
            ::waitpid(it.process, nullptr, 0);
        }
    }
}

std::string deployment::next_ip()
{
    return network_ + std::to_string(++last_ip_);
}

void deployment::add_machine(const std::string& zone, const std::string& region)
{
    machine it;
    it.name = "front-" + zone + "-" + std::to_string(machines_.size() + 1);
    it.zone = zone;
    it.region = region;
    it.ip = next_ip();
    machines_.push_back(std::move(it));
}

void deployment::add_upstreams(const std::string& service, const std::string& zone, unsigned count,
                               double cold_s)
{
    for (unsigned n = 0; n < count; ++n) {
        upstream::settings it;
        it.id = "i-" + service + "-" + std::to_string(upstreams_.size() + 1);
        it.service = service;
        it.zone = zone;
        it.at = {next_ip(), 8080};
        it.cold_s = cold_s;
        upstreams_.push_back(std::make_unique<upstream>(std::move(it), *store_, record_));
    }
}

std::string deployment::settings_of(const machine& it) const
{
    auto text = read_file(root_ + "/deploy/toucand.toml");
    const std::string open = "{{#zones}}";
    const std::string close = "{{/zones}}";
    const auto from = text.find(open);
    const auto to = text.find(close);
    if (from == std::string::npos || to == std::string::npos) {
        throw std::runtime_error("the template of the settings has no zones");
    }
    const auto section = text.substr(from + open.size(), to - from - open.size());
    std::string zones;
    std::map<std::string, std::string> regions;
    for (const auto& each : machines_) {
        regions[each.zone] = each.region;
    }
    for (const auto& [zone, region] : regions) {
        auto line = section;
        replace_all(line, "{{@}}", zone);
        replace_all(line, "{{.}}", region);
        zones += line;
    }
    text.replace(from, to + close.size() - from, zones);
    const std::map<std::string, std::string> values = {
        {"node_name", it.name},
        {"zone", it.zone},
        {"region", it.region},
        {"limits.cpu_share", "0.14"},
        {"limits.memory_mb", std::to_string(static_cast<int>(memory_mb))},
        {"listen.front", it.front().text()},
        {"listen.ready", it.ready().text()},
        {"listen.directory", it.directory().text()},
        {"ip", it.ip},
        {"internal_ports.0", "7660"},
        {"platform.address", store_address_.text()},
        {"bounds.grace_s", "6"},
        {"bounds.ttl_max_s", "5"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.budget_extra", "120"},
        {"bounds.budget_window_s", "10"},
        {"bounds.cold_overage", "1.5"},
        {"bounds.cold_slack", "5"},
        {"bounds.max_shift", "0.15"}};
    for (const auto& [name, value] : values) {
        replace_all(text, "{{" + name + "}}", value);
    }
    if (text.find("{{") != std::string::npos) {
        throw std::runtime_error("the template of the settings has an unknown placeholder");
    }
    return text;
}

void deployment::configure(int version, const json& routes, std::size_t max_body_bytes)
{
    json services = json::object();
    for (const auto& it : routes) {
        services[it.at("service").get<std::string>()] = {
            {"health_path", "/health"}, {"max_connections", 720},
            {"protocol", "h1"},         {"tls", false},
            {"cold_start_s", 3.0},      {"warmup_per_s", 17.0}};
    }
    store_->put("op", "config",
                {{"version", version},
                 {"routes", routes},
                 {"services", services},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", max_body_bytes},
                   {"header_timeout_s", 3},
                   {"idle_timeout_s", 15}}}});
}

bool deployment::start(const json& routes)
{
    configure(7, routes, 64U << 20U);
    for (auto& it : machines_) {
        start_process(it);
    }
    for (const auto& it : machines_) {
        if (!wait_ready(it, start_limit)) {
            record_.line("not ready: " + it.name);
            return false;
        }
    }
    // The machines learn of each other from their reports, and count as in touch after `contact_s`.
    std::this_thread::sleep_for(std::chrono::seconds(5));
    return true;
}

void deployment::start_process(machine& it)
{
    const auto settings = folder_ + "/" + it.name + ".toml";
    std::ofstream(settings, std::ios::trunc) << settings_of(it);
    const auto program = root_ + "/target/apps/toucand/toucand";
    const auto log = folder_ + "/" + it.name + ".log";
    const auto pid = ::fork();
    if (pid == 0) {
        // The daemon must not outlive the case, however the case ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        if (::chdir(root_.c_str()) == 0) {
            ::execl(program.c_str(), program.c_str(), "edge", "--settings", settings.c_str(),
                    nullptr);
        }
        ::_exit(127);
    }
    it.process = pid;
    record_.line("start: " + it.name + " at " + it.ip);
}

void deployment::signal(machine& it, int number)
{
    record_.line("signal " + std::to_string(number) + " to " + it.name);
    ::kill(it.process, number);
}

bool deployment::wait_end(machine& it, milliseconds limit)
{
    const auto until = steady_clock::now() + limit;
    while (steady_clock::now() < until) {
        int status = 0;
        if (::waitpid(it.process, &status, WNOHANG) == it.process) {
            record_.line("ended: " + it.name + " wait status " + std::to_string(status));
            it.process = 0;
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

bool deployment::wait_ready(const machine& it, milliseconds limit) const
{
    const auto until = steady_clock::now() + limit;
    while (steady_clock::now() < until) {
        message answer;
        const auto peer = connection::open(it.ready(), milliseconds(500));
        if (peer &&
            peer->send(
                "GET /toucanpoint/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n") &&
            peer->read(answer, milliseconds(1000)) == read_end::complete &&
            answer.status() == 200) {
            return true;
        }
        std::this_thread::sleep_for(poll_step);
    }
    return false;
}

std::size_t deployment::runs(const std::string& attempt_id)
{
    std::size_t all = 0;
    for (const auto& it : upstreams_) {
        all += it->runs(attempt_id);
    }
    return all;
}

bool deployment::answered(const std::string& attempt_id)
{
    return std::any_of(upstreams_.begin(), upstreams_.end(),
                       [&](const auto& it) { return it->answered(attempt_id); });
}

json route(const std::string& prefix, const std::string& kind, double timeout_s,
           unsigned max_attempts)
{
    return {{"host", host},
            {"prefix", prefix},
            {"route_type", kind},
            {"timeout_s", timeout_s},
            {"target_latency_s", timeout_s / 4},
            {"priority", 1},
            {"service", "checkdesk"},
            {"max_attempts", max_attempts},
            {"cache_affinity", false},
            {"allowed_regions", json::array()}};
}

std::string client_request(const std::string& method, const std::string& target,
                           const std::string& attempt_id, int deadline_ms, const std::string& body)
{
    std::string out = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                      "\r\nX-Attempt-Id: " + attempt_id +
                      "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (method != "GET") {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

double resident_mb(pid_t process)
{
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::atof(line.c_str() + 6) / 1024;
        }
    }
    return 0;
}

} // namespace toucan::review
