// Measures the cost of member table syncs per daemon: bytes encoded by Cap'n Proto without RPC
// framing, CPU time of the member tables, and heap size of one table. All daemons run in this
// process on a virtual clock.
#include "toucan/base/manual_clock.h"
#include "toucan/membership/member_table.h"
#include "toucan/membership/self_description_builder.h"
#include "toucan/membership/sync_scheduler.h"
#include "toucan/rpc/encoded_size.h"

#include <fmt/format.h>
#include <malloc.h>

#include <ctime>
#include <exception>
#include <iostream>
#include <random>
#include <thread>

namespace {

using namespace toucan;
using namespace toucan::membership;

constexpr unsigned seed = 1;
constexpr std::uint32_t services = 300;
/// Each service has backend servers in two failure domains.
constexpr std::uint32_t domains_per_service = 2;
constexpr std::uint32_t slots = 9;
/// Twice the refresh interval of summaries, so refreshes occur at the steady-state rate afterwards.
constexpr int warm_up_seconds = 5;
constexpr int measured_seconds = 5;
constexpr milliseconds tick{100};
constexpr int ticks_per_second = 10;
/// Each daemon checks for due syncs once per sync interval, at a tick given by its address.
constexpr int ticks_per_sync = 5;
/// Only the syncs of every n-th daemon are encoded, because encoding takes most of the time. The
/// step is coprime to the sizes of the failure domains, so all domains and positions are sampled.
constexpr std::uint32_t sample_step = 7;
/// The order of syncs within a tick depends on thread scheduling, so results vary slightly between
/// runs.
constexpr std::size_t threads = 7;
constexpr std::uint32_t first_ip = 0x7f000001U;

struct simulated_daemon {
    std::unique_ptr<member_table> table;
    sync_scheduler scheduler;
    std::vector<rpc::backend_load> homes;
    std::minstd_rand random;
};

struct sync_cost {
    double sent_bytes = 0;
    double received_bytes = 0;
    double cpu_seconds = 0;
    double syncs = 0;
};

double process_cpu_seconds()
{
    timespec at{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return double(at.tv_sec) + double(at.tv_nsec) * 1e-9;
}

/// Sums loads by service. The name of a backend server is its service, `-` and a number.
std::vector<rpc::service_load> sum_by_service(const std::vector<rpc::backend_load>& loads)
{
    std::map<std::string, rpc::service_load> sums;
    for (const auto& it : loads) {
        const auto name = it.backend.text().substr(0, it.backend.text().find('-'));
        auto& sum = sums[name];
        sum.service = service_name(name);
        sum.capacity_slots += it.admitted_slots;
        sum.spare_slots += it.admitted_slots - it.in_use;
        sum.queued += it.queued;
    }
    std::vector<rpc::service_load> out;
    out.reserve(sums.size());
    for (const auto& [name, it] : sums) {
        out.push_back(it);
    }
    return out;
}

/// Runs one tick of every `threads`-th daemon, beginning with the one at index `part`.
void run_tick(std::map<vm_address, simulated_daemon>& daemons, std::size_t part, int tick_index,
              steady_time now, sync_cost& total)
{
    for (auto& [address, it] : daemons) {
        const auto index = address.ip() - first_ip;
        if (index % threads != part) {
            continue;
        }
        // Each daemon reports a new random load once a second.
        if ((tick_index + address.ip()) % ticks_per_second == 0) {
            for (auto& home : it.homes) {
                home.in_use = 3 + it.random() % 4;
            }
            it.table->set_home_loads(it.homes);
        }
        if ((tick_index + address.ip()) % ticks_per_sync != 0) {
            continue;
        }
        const bool sampled = index % sample_step == 0;
        for (const auto& to : it.scheduler.due(*it.table->view(), now)) {
            const auto request = it.table->make_sync_request(to);
            const auto reply = daemons.at(to).table->handle_sync(request);
            it.table->apply_sync_reply(to, reply);
            if (sampled && tick_index >= warm_up_seconds * ticks_per_second) {
                total.sent_bytes += double(rpc::encoded_size(request));
                total.received_bytes += double(rpc::encoded_size(reply));
                total.syncs += 1;
            }
        }
    }
}

void measure(std::uint32_t size, std::uint32_t domains)
{
    manual_clock time;
    std::map<vm_address, simulated_daemon> daemons;
    const auto before = mallinfo2().uordblks;
    std::vector<vm_address> seed_addresses;
    for (std::uint32_t it = 0; it < size * domains; ++it) {
        const vm_address address(first_ip + it, 4000);
        const auto domain = it / size;
        auto& daemon = daemons[address];
        daemon.random.seed(seed + it);
        daemon.table = std::make_unique<member_table>(
            self_description_builder()
                .id({address, incarnation(it + 1)})
                .http_port(80)
                .location(failure_domain_name(fmt::format("region{}-d{}", domain / 4, domain % 4)),
                          region_name(fmt::format("region{}", domain / 4)))
                .summarize_loads(sum_by_service)
                .build(),
            time);
        daemon.table->set_state(rpc::member_state::ready);
        // Assigns the backend servers of the failure domain to its daemons round-robin.
        for (std::uint32_t backend_index = 0; backend_index < services * domains_per_service;
             ++backend_index) {
            if (backend_index % domains == domain &&
                (backend_index / domains) % size == it % size) {
                daemon.homes.push_back(
                    {backend_server_name(fmt::format("svc{}-{}", backend_index % services, it)),
                     slots, 4, 0});
            }
        }
        if (it % size < 2) {
            seed_addresses.push_back(address);
        }
    }
    // The seeds are two daemons of each failure domain, because failure domains discover each other
    // only through seeds and the VM list.
    for (auto& [address, it] : daemons) {
        it.table->set_seeds(seed_addresses);
    }
    sync_cost total;
    double cpu_start = 0;
    for (int tick_index = 0; tick_index < (warm_up_seconds + measured_seconds) * ticks_per_second;
         ++tick_index) {
        if (tick_index == warm_up_seconds * ticks_per_second) {
            total = {};
            cpu_start = process_cpu_seconds();
        }
        time.advance(tick);
        std::vector<sync_cost> parts(threads);
        std::vector<std::thread> workers;
        for (std::size_t part = 0; part < threads; ++part) {
            workers.emplace_back(
                [&, part] { run_tick(daemons, part, tick_index, time.now(), parts.at(part)); });
        }
        for (std::size_t part = 0; part < threads; ++part) {
            workers.at(part).join();
            total.sent_bytes += parts.at(part).sent_bytes;
            total.received_bytes += parts.at(part).received_bytes;
            total.syncs += parts.at(part).syncs;
        }
    }
    const double cpu_seconds_used = process_cpu_seconds() - cpu_start;
    const auto samples = (daemons.size() + sample_step - 1) / sample_step;
    const double per_daemon_second = 1.0 / double(samples) / measured_seconds;
    std::size_t incomplete = 0;
    for (const auto& [address, it] : daemons) {
        const auto view = it.table->view();
        incomplete += view->members.size() + 1 != size || view->summaries.size() + 1 != domains;
    }
    if (incomplete > 0) {
        std::cout << incomplete << " daemons lack members or summaries of failure domains\n";
    }
    // Each message that a daemon sends is received by another one, so the average bytes sent equal
    // the average bytes received.
    const auto bytes = (total.sent_bytes + total.received_bytes) * per_daemon_second;
    std::cout << fmt::format("{:>7} {:>7} {:>7} {:>10.1f} {:>14.2f} {:>12.2f} {:>10.0f}\n", size,
                             domains, daemons.size(), total.syncs * per_daemon_second, bytes / 1000,
                             cpu_seconds_used / double(daemons.size()) / measured_seconds * 100,
                             double(mallinfo2().uordblks - before) / double(daemons.size()) / 1000)
              << std::flush;
}

} // namespace

int main(int argc, char** /*argv*/)
{
    try {
        std::cout << "command: membership_bench" << (argc > 1 ? " quick" : "") << '\n'
                  << "seed " << seed << ", " << services << " services in " << domains_per_service
                  << " failure domains each, load changes once a second\n"
                  << "bytes sent per daemon (its requests and replies), equal to bytes received\n"
                  << "bytes and syncs are from every " << sample_step << "th daemon\n"
                  << "members domains daemons    syncs/s      kB/s sent   CPU % core   kB table\n";
        const bool quick = argc > 1;
        for (const std::uint32_t domains : {6U, 24U, 76U}) {
            for (const std::uint32_t size : {4U, 8U, 16U}) {
                if (!quick || size == 16) {
                    measure(size, domains);
                }
            }
        }
        return 0;
    }
    catch (const std::exception& ex) {
        std::cerr << "benchmark aborted: " << ex.what() << '\n';
        return 1;
    }
}
