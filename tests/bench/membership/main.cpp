// Cost of sync per daemon: bytes as encoded by Cap'n Proto without the framing of calls, CPU time
// of the member tables, and heap of one table. All daemons run in this process on a virtual clock.
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
/// Each service is in two failure domains.
constexpr std::uint32_t domains_per_service = 2;
constexpr std::uint32_t slots = 9;
/// Twice the refresh interval of summaries, so that each is refreshed as often as in steady state.
constexpr int warm_up_seconds = 5;
constexpr int measured_seconds = 5;
constexpr milliseconds tick{100};
constexpr int ticks_per_second = 10;
/// Each daemon looks for due syncs once per sync interval, at a tick of its own.
constexpr int ticks_per_sync = 5;
/// Encoding takes most of the time, so only the syncs of every n-th daemon are encoded. It is
/// coprime to the sizes of the failure domains, so that all domains and positions are sampled.
constexpr std::uint32_t sample_step = 7;
/// The order of syncs within a tick depends on the threads, so figures vary a little between runs.
constexpr std::size_t threads = 7;
constexpr std::uint32_t first_ip = 0x7f000001U;

struct daemon_run {
    std::unique_ptr<member_table> table;
    sync_scheduler scheduler;
    std::vector<rpc::backend_load> homes;
    std::minstd_rand random;
};

struct cost {
    double sent_bytes = 0;
    double received_bytes = 0;
    double cpu_seconds = 0;
    double syncs = 0;
};

double cpu_now()
{
    timespec at{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return double(at.tv_sec) + double(at.tv_nsec) * 1e-9;
}

/// The backend server's name begins with its service.
std::vector<rpc::service_load> per_service(const std::vector<rpc::backend_load>& loads)
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

/// One tick of every `threads`-th daemon.
void run_tick(std::map<vm_address, daemon_run>& daemons, std::size_t part, int at, steady_time now,
              cost& total)
{
    for (auto& [address, it] : daemons) {
        const auto index = address.ip() - first_ip;
        if (index % threads != part) {
            continue;
        }
        // Load is reported once a second, and differs each time.
        if ((at + address.ip()) % ticks_per_second == 0) {
            for (auto& home : it.homes) {
                home.in_use = 3 + it.random() % 4;
            }
            it.table->set_homes(it.homes);
        }
        if ((at + address.ip()) % ticks_per_sync != 0) {
            continue;
        }
        const bool sampled = index % sample_step == 0;
        for (const auto& to : it.scheduler.due(*it.table->view(), now)) {
            const auto request = it.table->make_sync(to);
            const auto reply = daemons.at(to).table->handle_sync(request);
            it.table->apply(to, reply);
            if (sampled && at >= warm_up_seconds * ticks_per_second) {
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
    std::map<vm_address, daemon_run> daemons;
    const auto before = mallinfo2().uordblks;
    std::vector<vm_address> list;
    for (std::uint32_t it = 0; it < size * domains; ++it) {
        const vm_address address(first_ip + it, 4000);
        const auto domain = it / size;
        auto& made = daemons[address];
        made.random.seed(seed + it);
        made.table = std::make_unique<member_table>(
            self_description_builder()
                .id({address, incarnation(it + 1)})
                .http_port(80)
                .place(failure_domain_name(fmt::format("region{}-d{}", domain / 4, domain % 4)),
                       region_name(fmt::format("region{}", domain / 4)))
                .summarise(per_service)
                .build(),
            time);
        made.table->set_state(rpc::member_state::ready);
        // One backend server per service and daemon slot of the domain, dealt out in turn.
        for (std::uint32_t at = 0; at < services * domains_per_service; ++at) {
            if (at % domains == domain && (at / domains) % size == it % size) {
                made.homes.push_back(
                    {backend_server_name(fmt::format("svc{}-{}", at % services, it)), slots, 4, 0});
            }
        }
        if (it % size < 2) {
            list.push_back(address);
        }
    }
    // Two VMs of each failure domain: domains learn of each other from seeds and the VM list only.
    for (auto& [address, it] : daemons) {
        it.table->set_seeds(list);
    }
    cost total;
    double started = 0;
    for (int at = 0; at < (warm_up_seconds + measured_seconds) * ticks_per_second; ++at) {
        if (at == warm_up_seconds * ticks_per_second) {
            total = {};
            started = cpu_now();
        }
        time.advance(tick);
        std::vector<cost> parts(threads);
        std::vector<std::thread> workers;
        for (std::size_t part = 0; part < threads; ++part) {
            workers.emplace_back(
                [&, part] { run_tick(daemons, part, at, time.now(), parts.at(part)); });
        }
        for (std::size_t part = 0; part < threads; ++part) {
            workers.at(part).join();
            total.sent_bytes += parts.at(part).sent_bytes;
            total.received_bytes += parts.at(part).received_bytes;
            total.syncs += parts.at(part).syncs;
        }
    }
    const double spent = cpu_now() - started;
    const auto samples = (daemons.size() + sample_step - 1) / sample_step;
    const double share = 1.0 / double(samples) / measured_seconds;
    std::size_t incomplete = 0;
    for (const auto& [address, it] : daemons) {
        const auto view = it.table->view();
        incomplete += view->members.size() + 1 != size || view->summaries.size() + 1 != domains;
    }
    if (incomplete > 0) {
        std::cout << incomplete << " daemons do not know all members and failure domains\n";
    }
    // Every request that one daemon sends another receives, so both directions add up alike.
    const auto bytes = (total.sent_bytes + total.received_bytes) * share;
    std::cout << fmt::format("{:>7} {:>7} {:>7} {:>10.1f} {:>14.2f} {:>12.2f} {:>10.0f}\n", size,
                             domains, daemons.size(), total.syncs * share, bytes / 1000,
                             spent / double(daemons.size()) / measured_seconds * 100,
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
        std::cerr << "benchmark stopped: " << ex.what() << '\n';
        return 1;
    }
}
