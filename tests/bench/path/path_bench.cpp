// Measures latency, throughput and CPU time of lookups, requests and operations through real
// daemons, and of direct calls to the same backend servers in the same run. Prints a Markdown
// table.
//
// Usage: path_bench [ms per measurement, at most 1500]
#include "support/deployment.h"
#include "support/http.h"
#include "support/lookup.h"
#include "support/wait_until.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace toucan;
using namespace toucan::test;
using steady = std::chrono::steady_clock;

constexpr int default_measurement_ms = 1000;
// Eight measurements of this length and the other steps take less than 20 s.
constexpr int max_measurement_ms = 1500;
// Limits the execution records of the stand-in and the operation records of the owner daemon.
constexpr std::size_t max_requests_per_connection = 20'000;
constexpr std::size_t connection_counts[] = {1, 8};
constexpr std::chrono::seconds idle_time{5};
constexpr int restarts = 3;
constexpr double us_per_s = 1e6;

/// @return user and system CPU time of a process in seconds, from `/proc/<pid>/stat`.
double cpu_seconds(pid_t pid)
{
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string text((std::istreambuf_iterator<char>(file)), {});
    // The process name in parentheses may contain spaces; the state is the first field after it.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string ignored_field;
    constexpr int fields_before_utime = 11;
    for (int it = 0; it < fields_before_utime; ++it) {
        fields >> ignored_field;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// @return memory of a process in MB, from `/proc/<pid>/status`; 0 if the field is absent.
/// @param field for example `VmRSS:`, or `RssAnon:` for memory that is not mapped from files.
double memory_mb(pid_t pid, const std::string& field)
{
    std::ifstream file(fmt::format("/proc/{}/status", pid));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(field)) {
            return std::strtod(line.c_str() + field.size(), nullptr) * 1024 / 1e6;
        }
    }
    return 0;
}

struct cpu_use {
    double first = 0;
    double second = 0;
};

cpu_use daemon_cpu(deployment& system)
{
    return {cpu_seconds(system.entry_vms()[0].process->pid()),
            cpu_seconds(system.entry_vms()[1].process->pid())};
}

struct request_kind {
    std::string name;
    vm_address to;
    /// Builds a request from the key prefix and a number that is unique within the measurement.
    std::function<httplib::Request(const std::string& prefix, std::size_t n)> build;
    bool needs_key = false;
    bool through_daemon = false;
};

struct connection_result {
    std::vector<double> latencies_us;
    std::size_t failed = 0;
};

connection_result run_connection(const request_kind& kind, const std::string& prefix,
                                 std::size_t index, std::chrono::milliseconds length)
{
    connection_result out;
    httplib::Client client(kind.to.ip_text(), kind.to.port());
    client.set_tcp_nodelay(true);
    client.set_keep_alive(true);
    const auto end = steady::now() + length;
    for (std::size_t it = 0; it < max_requests_per_connection; ++it) {
        const auto start = steady::now();
        if (start >= end) {
            break;
        }
        const auto res =
            client.send(kind.build(prefix, index * max_requests_per_connection + it + 1));
        const std::chrono::duration<double, std::micro> elapsed = steady::now() - start;
        const bool completed =
            res && res->status == 200 &&
            (!kind.through_daemon || res->get_header_value("Toucan-Outcome") == "completed");
        if (completed) {
            out.latencies_us.push_back(elapsed.count());
        }
        else {
            ++out.failed;
        }
    }
    return out;
}

double percentile(const std::vector<double>& sorted, double quantile)
{
    const auto n = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
    return sorted.empty() ? 0 : sorted[n];
}

void measure(deployment& system, const request_kind& kind, std::size_t connections,
             std::chrono::milliseconds length)
{
    std::string prefix;
    if (kind.needs_key) {
        const auto found = send_lookup(kind.to, "checkdesk", client_block_of(0));
        if (!found || found->key_prefix.empty()) {
            throw std::runtime_error("lookup returned no key prefix");
        }
        prefix = found->key_prefix;
    }
    std::vector<connection_result> results(connections);
    const auto before = daemon_cpu(system);
    const auto start = steady::now();
    {
        std::vector<std::thread> threads;
        for (std::size_t it = 0; it < connections; ++it) {
            threads.emplace_back(
                [&, it] { results[it] = run_connection(kind, prefix, it, length); });
        }
        for (auto& it : threads) {
            it.join();
        }
    }
    const std::chrono::duration<double> elapsed = steady::now() - start;
    const auto after = daemon_cpu(system);
    std::vector<double> all;
    std::size_t failed = 0;
    for (const auto& it : results) {
        all.insert(all.end(), it.latencies_us.begin(), it.latencies_us.end());
        failed += it.failed;
    }
    std::sort(all.begin(), all.end());
    const auto n = static_cast<double>(std::max<std::size_t>(all.size() + failed, 1));
    fmt::print("| {} | {} | {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} |\n", kind.name,
               connections, all.size(), failed, static_cast<double>(all.size()) / elapsed.count(),
               percentile(all, 0.50), percentile(all, 0.99),
               (after.first - before.first) * us_per_s / n,
               (after.second - before.second) * us_per_s / n);
}

std::vector<request_kind> request_kinds(const deployment& system, const vm_address& entry)
{
    const auto request = [](const char* method, const std::string& path) {
        httplib::Request out;
        out.method = method;
        out.path = path;
        out.headers = {{"Toucan-Deadline-Ms", "2000"},
                       {"Toucan-Client-Block", client_block_of(0)},
                       {"Toucan-Test-Size", "200"}};
        return out;
    };
    const auto get = [request](const std::string& path) {
        return [=](const std::string&, std::size_t n) {
            auto out = request("GET", path);
            out.headers.emplace("Toucan-Test-Id", fmt::format("get-{}", n));
            return out;
        };
    };
    const auto order = [request](const std::string& prefix, std::size_t n) {
        auto out = request("POST", "/v1/call/checkdesk/orders");
        out.headers.emplace("Toucan-Test-Id", fmt::format("{}-{}", prefix, n));
        out.headers.emplace("Toucan-Operation-Key", fmt::format("{}.{}", prefix, n));
        out.body = "one";
        return out;
    };
    const auto lookup = "/v1/lookup?service=checkdesk&block=" + client_block_of(0);
    return {{"direct call to the backend server", system.backends()[0].address, get("/stock")},
            {"lookup", entry, get(lookup)},
            {"idempotent request", entry, get("/v1/call/checkdesk/stock"), false, true},
            {"operation with an issued key", entry, order, true, true}};
}

/// Kills a daemon and restarts it.
/// @return time from the start of the new process to the first `/readyz` 200, in ms.
double restart_ms(deployment& system)
{
    system.entry_vms()[1].process->kill();
    const auto start = steady::now();
    system.start_daemon(1);
    if (!system.wait_ready({1})) {
        throw std::runtime_error("the restarted daemon did not become ready before the deadline");
    }
    return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

void run(std::chrono::milliseconds length)
{
    deployment_plan plan;
    plan.domains = {{"north-a", "north", 2}};
    plan.services[0].slots = 32;
    plan.services[0].service_ms = 0;
    plan.log_level = "warn";
    deployment system(plan);
    system.start();

    const auto counters_before = get_json(system.platform(), "/control/counters");
    const auto before = daemon_cpu(system);
    std::this_thread::sleep_for(idle_time);
    const auto after = daemon_cpu(system);
    const auto counters_after = get_json(system.platform(), "/control/counters");
    const auto idle_s = static_cast<double>(idle_time.count());
    const auto pid = system.entry_vms()[0].process->pid();
    const auto idle_mb = memory_mb(pid, "VmRSS:");
    const auto idle_anonymous_mb = memory_mb(pid, "RssAnon:");

    fmt::print("| measured | connections | completed | failed | per s | p50 µs | p99 µs | CPU µs "
               "each, asked daemon | CPU µs each, other daemon |\n"
               "|---|---|---|---|---|---|---|---|---|\n");
    for (const auto& kind : request_kinds(system, system.entry_vms()[0].http)) {
        for (const auto n : connection_counts) {
            measure(system, kind, n, length);
        }
    }
    fmt::print("\nidle daemon: {:.1f} MB resident ({:.1f} MB anonymous), {:.2f}% and {:.2f}% of a "
               "core; after the load: "
               "{:.1f} MB\n",
               idle_mb, idle_anonymous_mb, (after.first - before.first) / idle_s * 100,
               (after.second - before.second) / idle_s * 100, memory_mb(pid, "VmRSS:"));
    if (counters_before && counters_after) {
        fmt::print("platform counters before and after {} s idle: {} {}\n", idle_time.count(),
                   counters_before->dump(), counters_after->dump());
    }
    fmt::print("process killed, started again and ready, ms:");
    for (int it = 0; it < restarts; ++it) {
        fmt::print(" {:.0f}", restart_ms(system));
    }
    fmt::print("\n");
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const int ms = argc > 1 ? std::atoi(argv[1]) : default_measurement_ms;
        if (ms < 1 || ms > max_measurement_ms) {
            throw std::runtime_error("measurement length out of range: expected 1 to 1500 ms");
        }
        fmt::print("Command: `{} {}`\n\n", argv[0], ms);
        run(std::chrono::milliseconds(ms));
        return EXIT_SUCCESS;
    }
    catch (const std::exception& ex) {
        fmt::print(stderr, "{}\n", ex.what());
        return EXIT_FAILURE;
    }
}
