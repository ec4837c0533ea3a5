#include "support/deployment.h"

#include "support/http.h"
#include "support/lookup.h"
#include "support/wait_until.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <thread>
#include <utility>

namespace toucan::test {
namespace {

constexpr std::uint16_t rpc_port = 7001;
constexpr std::uint16_t first_route_port = 10'000;
constexpr std::size_t log_tail_bytes = 2000;
constexpr std::size_t seed_count = 2;

bool responds_ok(const vm_address& address, const std::string& target)
{
    const auto it = http_send(address, "GET", target);
    return it && it->status == 200;
}

} // namespace

deployment::deployment(deployment_plan plan) : plan_(std::move(plan))
{
    platform_ = range_.next();
    proxy_control_ = range_.next();
    for (const auto& domain : plan_.domains) {
        for (std::size_t it = 0; it < domain.entry_vms; ++it) {
            const auto http = range_.next();
            entry_vms_.push_back(
                {domain.name, domain.region, http, http.with_port(rpc_port), nullptr});
        }
        for (const auto& service : plan_.services) {
            for (std::size_t it = 0; it < service.backends_per_domain; ++it) {
                backends_.push_back({fmt::format("{}-{}-{}", service.name, domain.name, it),
                                     service.name, domain.name, range_.next()});
            }
        }
    }
}

deployment::~deployment() = default;

void deployment::start()
{
    start_standins();
    if (const auto status = publish(); status != publish_status::accepted) {
        throw std::runtime_error(
            fmt::format("first publication failed: toucanctl exit status {}\n{}",
                        static_cast<int>(status), log_tails()));
    }
    for (std::size_t it = 0; it < entry_vms_.size(); ++it) {
        start_daemon(it);
    }
    if (!wait_ready() || !wait_version(1) || !wait_converged()) {
        throw std::runtime_error("daemons are not ready, lack version 1 or do not list each other "
                                 "within the deadline\n" +
                                 log_tails());
    }
    // A daemon has no shift budget in the interval in which it started, so the longest shift
    // interval of all services must pass.
    std::uint32_t longest_interval_s = 0;
    for (const auto& it : plan_.services) {
        longest_interval_s = std::max(longest_interval_s, it.shift_interval_s);
    }
    std::this_thread::sleep_for(std::chrono::seconds(longest_interval_s));
}

bool deployment::lists_all_ready(const entry_vm& vm) const
{
    const auto state = get_json(vm.http, "/state");
    if (!state) {
        return false;
    }
    std::size_t ready_entry_vms = 1;
    for (const auto& it : state->at("membership").at("members")) {
        ready_entry_vms += it.at("reachable") == true && it.at("state") == "ready" ? 1 : 0;
    }
    for (const auto& it : state->at("membership").at("summaries")) {
        ready_entry_vms += it.at("usable") == true ? it.at("entry_vms").get<std::size_t>() : 0;
    }
    return ready_entry_vms == entry_vms_.size();
}

bool deployment::wait_converged()
{
    return wait_until([this] {
        return std::all_of(entry_vms_.begin(), entry_vms_.end(),
                           [this](const auto& it) { return lists_all_ready(it); });
    });
}

void deployment::start_standins()
{
    start_platform();
    start_backends();
    if (plan_.proxied) {
        start_proxy();
    }
    set_vm_list();
}

void deployment::start_platform()
{
    platform_process_ = std::make_unique<child_process>(
        TOUCAN_PLATFORM_STANDIN, std::vector<std::string>{"--listen", platform_.to_string()},
        folder_.file("platform.log"));
    if (!wait_until([this] { return responds_ok(platform_, "/control/counters"); })) {
        throw std::runtime_error("platform stand-in did not answer before the deadline: " +
                                 platform_process_->log_text());
    }
}

void deployment::start_backends()
{
    for (const auto& vm : backends_) {
        const auto service =
            std::find_if(plan_.services.begin(), plan_.services.end(),
                         [&vm](const service_plan& it) { return it.name == vm.service; });
        // The control requests of the test need 4 connections in addition to those of the service.
        constexpr std::uint32_t control_connections = 4;
        const std::vector<std::string> args = {
            "--listen",      vm.address.to_string(),
            "--name",        vm.name,
            "--slots",       std::to_string(service->slots),
            "--connections", std::to_string(service->connections + control_connections),
            "--service-ms",  std::to_string(service->service_ms)};
        backend_processes_.push_back(std::make_unique<child_process>(
            TOUCAN_BACKEND_STANDIN, args, folder_.file(vm.name + ".log")));
    }
    for (const auto& vm : backends_) {
        if (!wait_until([&vm] { return responds_ok(vm.address, "/health"); })) {
            throw std::runtime_error("backend stand-in did not answer before the deadline: " +
                                     vm.name);
        }
    }
}

void deployment::start_proxy()
{
    const auto proxy = range_.next();
    std::vector<std::string> args = {"--control", proxy_control_.to_string()};
    const auto add = [&](std::size_t from, const vm_address& to) {
        const auto port = static_cast<std::uint16_t>(first_route_port + routes_.size());
        const auto listen = proxy.with_port(port);
        routes_.push_back({from, to, listen});
        args.emplace_back("--route");
        args.push_back(listen.to_string() + "=" + to.to_string());
    };
    for (std::size_t from = 0; from < entry_vms_.size(); ++from) {
        add(from, platform_);
        for (std::size_t to = 0; to < entry_vms_.size(); ++to) {
            if (from != to) {
                add(from, entry_vms_[to].rpc);
            }
        }
    }
    proxy_process_ =
        std::make_unique<child_process>(TOUCAN_PROXY_STANDIN, args, folder_.file("proxy.log"));
    if (!wait_until([this] { return responds_ok(proxy_control_, "/control/counters"); })) {
        throw std::runtime_error("proxy stand-in did not answer before the deadline: " +
                                 proxy_process_->log_text());
    }
}

void deployment::start_daemon(std::size_t index)
{
    auto& vm = entry_vms_.at(index);
    if (vm.process && vm.process->running()) {
        throw std::logic_error("the daemon of the entry VM is already running");
    }
    std::string seeds;
    for (std::size_t it = 0; it < std::min(seed_count, entry_vms_.size()); ++it) {
        seeds += (it > 0 ? "," : "") + entry_vms_[it].rpc.to_string();
    }
    auto platform = platform_;
    std::vector<std::string> peer_overrides;
    for (const auto& it : routes_) {
        if (it.from != index) {
            continue;
        }
        if (it.to == platform_) {
            platform = it.listen;
        }
        else {
            peer_overrides.emplace_back("--peer-override");
            peer_overrides.push_back(it.to.to_string() + "=" + it.listen.to_string());
        }
    }
    std::vector<std::string> args = {"--listen-http",
                                     vm.http.to_string(),
                                     "--listen-rpc",
                                     vm.rpc.to_string(),
                                     "--failure-domain",
                                     vm.failure_domain,
                                     "--region",
                                     vm.region,
                                     "--platform",
                                     platform.to_string(),
                                     "--seeds",
                                     seeds,
                                     "--log-level",
                                     plan_.log_level,
                                     "--drain-limit-s",
                                     std::to_string(plan_.drain_limit_s),
                                     "--lookup-lifetime-ms",
                                     std::to_string(plan_.lookup_lifetime_ms)};
    args.insert(args.end(), peer_overrides.begin(), peer_overrides.end());
    auto disabled = plan_.disabled;
    // Disables a mechanism for a whole test program, to show that its checks then fail.
    if (const char* more = std::getenv("TOUCAN_TEST_DISABLE")) { // NOLINT(concurrency-mt-unsafe)
        disabled.emplace_back(more);
    }
    for (const auto& it : disabled) {
        args.emplace_back("--disable");
        args.push_back(it);
    }
    vm.process = std::make_unique<child_process>(
        TOUCAN_DAEMON, args, folder_.file(fmt::format("toucand-{}.log", index)),
        std::vector<std::string>{"TOUCAN_TEST_SWITCHES=1"});
}

bool deployment::wait_ready(const std::vector<std::size_t>& indices)
{
    const auto wanted = indices_or_started(indices);
    return wait_until([&] {
        return std::all_of(wanted.begin(), wanted.end(), [this](std::size_t it) {
            return responds_ok(entry_vms_[it].http, "/readyz");
        });
    });
}

publish_status deployment::publish(const std::string& publisher)
{
    const auto status = start_publish(publisher)->wait_exit(wait_deadline);
    if (!status) {
        throw std::runtime_error("toucanctl publish did not end before the deadline");
    }
    return static_cast<publish_status>(*status);
}

std::unique_ptr<child_process> deployment::start_publish(const std::string& publisher)
{
    // Each publication has its own folder, so concurrent publishers can have different content.
    const auto n = publications_++;
    const auto files = folder_.file(fmt::format("steering-{}", n));
    std::filesystem::create_directory(files);
    write_steering_files(files, plan_, backends_);
    return std::make_unique<child_process>(TOUCAN_CTL,
                                           std::vector<std::string>{"publish", files, "--platform",
                                                                    platform_.to_string(),
                                                                    "--publisher", publisher},
                                           folder_.file(fmt::format("toucanctl-{}.log", n)));
}

std::uint64_t deployment::version_at(std::size_t index)
{
    const auto it =
        send_lookup(entry_vms_.at(index).http, plan_.services.front().name, client_block_of(0));
    return it ? it->version : 0;
}

bool deployment::wait_version(std::uint64_t version, const std::vector<std::size_t>& indices)
{
    const auto wanted = indices_or_started(indices);
    return wait_until([&] {
        return std::all_of(wanted.begin(), wanted.end(),
                           [&](std::size_t it) { return version_at(it) >= version; });
    });
}

void deployment::set_link(const std::string& lhs, const std::string& rhs,
                          const nlohmann::json& faults)
{
    std::vector<vm_address> listen;
    for (const auto& it : routes_) {
        const auto& from = entry_vms_[it.from].failure_domain;
        for (const auto& to : entry_vms_) {
            const bool between = (from == lhs && to.failure_domain == rhs) ||
                                 (from == rhs && to.failure_domain == lhs);
            if (to.rpc == it.to && between) {
                listen.push_back(it.listen);
            }
        }
    }
    set_routes(listen, faults);
}

void deployment::set_platform_link(const std::string& failure_domain, const nlohmann::json& faults)
{
    std::vector<vm_address> listen;
    for (const auto& it : routes_) {
        if (it.to == platform_ && entry_vms_[it.from].failure_domain == failure_domain) {
            listen.push_back(it.listen);
        }
    }
    set_routes(listen, faults);
}

void deployment::set_route(std::size_t from, std::size_t to, const nlohmann::json& faults)
{
    std::vector<vm_address> listen;
    for (const auto& it : routes_) {
        if (it.from == from && it.to == entry_vms_.at(to).rpc) {
            listen.push_back(it.listen);
        }
    }
    set_routes(listen, faults);
}

void deployment::set_routes(const std::vector<vm_address>& listen, const nlohmann::json& faults)
{
    // With an empty selection, a partition test would pass without a partition.
    if (listen.empty()) {
        throw std::logic_error("no proxy route matches the requested fault");
    }
    auto body = faults;
    body["listen"] = nlohmann::json::array();
    for (const auto& it : listen) {
        body["listen"].push_back(it.to_string());
    }
    post_control(proxy_control_, "/control/routes", body);
}

void deployment::set_platform_faults(const nlohmann::json& faults)
{
    post_control(platform_, "/control/faults", faults);
}

void deployment::set_vm_list(const std::set<vm_address>& leaving)
{
    auto list = nlohmann::json::array();
    const auto add = [&](const char* role, const vm_address& address, const std::string& domain) {
        list.push_back({{"role", role},
                        {"address", address.to_string()},
                        {"failure_domain", domain},
                        {"leaving", leaving.contains(address)}});
    };
    for (const auto& it : entry_vms_) {
        add("entry", it.rpc, it.failure_domain);
    }
    for (const auto& it : backends_) {
        add("backend", it.address, it.failure_domain);
    }
    post_control(platform_, "/control/vms", list);
}

void deployment::set_backend(std::size_t index, const std::string& endpoint,
                             const nlohmann::json& body)
{
    post_control(backends_.at(index).address, "/control/" + endpoint, body);
}

std::vector<vm_address> deployment::entry_addresses() const
{
    std::vector<vm_address> out;
    for (const auto& it : entry_vms_) {
        out.push_back(it.http);
    }
    return out;
}

std::vector<vm_address> deployment::backend_addresses() const
{
    std::vector<vm_address> out;
    for (const auto& it : backends_) {
        out.push_back(it.address);
    }
    return out;
}

std::vector<std::size_t> deployment::entry_vms_of(const std::string& failure_domain) const
{
    std::vector<std::size_t> out;
    for (std::size_t it = 0; it < entry_vms_.size(); ++it) {
        if (entry_vms_[it].failure_domain == failure_domain) {
            out.push_back(it);
        }
    }
    return out;
}

std::string deployment::log_tails() const
{
    std::string out;
    const auto add = [&out](const std::string& name, const std::string& text) {
        const auto from = text.size() > log_tail_bytes ? text.size() - log_tail_bytes : 0;
        out += "--- " + name + "\n" + text.substr(from) + "\n";
    };
    for (std::size_t it = 0; it < entry_vms_.size(); ++it) {
        if (entry_vms_[it].process) {
            add(fmt::format("toucand {}", it), entry_vms_[it].process->log_text());
        }
    }
    return out;
}

std::vector<std::size_t>
deployment::indices_or_started(const std::vector<std::size_t>& indices) const
{
    if (!indices.empty()) {
        return indices;
    }
    std::vector<std::size_t> out;
    for (std::size_t it = 0; it < entry_vms_.size(); ++it) {
        if (entry_vms_[it].process) {
            out.push_back(it);
        }
    }
    return out;
}

} // namespace toucan::test
