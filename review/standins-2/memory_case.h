#pragma once

// What cases 6 and 8 share: one caller sends one bad request after another, ordinary callers book
// orders, and the platform ends each process that exceeds the memory of its machine (DEPLOY.md:
// "A process that exceeds `memory_mb` is killed", "A process that exits or is killed is restarted
// after a short delay").
#include "rig.h"

namespace rig {

constexpr long memory_limit_kb = 182 * 1024;
constexpr int rounds = 3;
constexpr int ordinary_callers = 6;
constexpr double order_work_s = 0.3;

struct memory_counts {
    std::atomic<int> orders{0};
    std::atomic<int> answered{0};
    std::atomic<int> lost{0};
    std::vector<int> ends;
};

/// Books orders on a kept connection, one after another.
inline void book(deployment& it, const address& to, int caller, const std::atomic<bool>& stop,
                 memory_counts& all)
{
    int fd = -1;
    std::string buf;
    message answer;
    for (int n = 0; !stop; ++n) {
        fd = fd < 0 ? connect_to(to) : fd;
        if (fd < 0) {
            sleep_s(0.05);
            continue;
        }
        const auto id = "order-" + std::to_string(to.port) + "-" + std::to_string(caller) + "-" +
                        std::to_string(n);
        ++all.orders;
        const bool complete =
            send_all(fd, std::string("POST /order/x HTTP/1.1\r\nHost: ") + deployment::host +
                             "\r\nX-Attempt-Id: " + id +
                             "\r\nX-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\nbook") &&
            read_message(fd, buf, answer, now_s() + 3) == read_end::complete;
        if (complete) {
            ++all.answered;
            it.log.line("order id=%s status=%d", id.c_str(), answer.status());
            continue;
        }
        ::close(fd);
        fd = -1;
        buf.clear();
        bool ran = false;
        for (const auto& server : it.backends) {
            ran = ran || server->runs().count(id) > 0;
        }
        all.lost += ran ? 1 : 0;
        it.log.line("order id=%s NO ANSWER, has run=%d", id.c_str(), ran ? 1 : 0);
    }
    ::close(fd);
}

/// The platform's watch over the memory of one process.
inline void watch_memory(deployment& it, std::size_t of, const std::atomic<bool>& stop,
                         memory_counts& all)
{
    auto& process = *it.daemons.at(of);
    while (!stop) {
        const auto peak = process.peak_kb();
        if (peak > memory_limit_kb) {
            process.kill_now();
            ++all.ends.at(of);
            it.log.line("ENDED %s: %ld kB, the machine has %ld kB", process.name().c_str(), peak,
                        memory_limit_kb);
            sleep_s(1);
            process.start(it.registry.where(), it.zones);
        }
        sleep_s(0.005);
    }
}

/// @param bad the bytes of one request; sent to each daemon, `rounds` times.
inline int play_memory_case(deployment& it, const std::string& bad)
{
    it.start(4, {}, order_work_s);
    memory_counts all;
    all.ends.resize(it.daemons.size());
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < it.daemons.size(); ++n) {
        threads.emplace_back([&, n] { watch_memory(it, n, stop, all); });
        for (int caller = 0; caller < ordinary_callers; ++caller) {
            threads.emplace_back(
                [&, n, caller] { book(it, it.daemons[n]->callers, caller, stop, all); });
        }
    }
    sleep_s(2);
    for (int round = 0; round < rounds; ++round) {
        for (const auto& to : it.daemons) {
            const int fd = connect_to(to->callers);
            std::string buf;
            message answer;
            const bool sent = fd >= 0 && send_all(fd, bad);
            const bool complete =
                fd >= 0 && read_message(fd, buf, answer, now_s() + 8) == read_end::complete;
            ::close(fd);
            it.log.line("bad request to %s: bytes=%zu sent=%d status=%d, peak memory %ld kB",
                        to->name().c_str(), bad.size(), sent ? 1 : 0,
                        complete ? answer.status() : 0, to->peak_kb());
            sleep_s(3);
            const double until = now_s() + 10;
            while (!to->ready() && now_s() < until) {
                sleep_s(0.1);
            }
        }
    }
    stop = true;
    for (auto& each : threads) {
        each.join();
    }
    it.log.line("bad_requests=%d ended=%d,%d orders=%d answered=%d run_but_not_answered=%d",
                rounds * static_cast<int>(it.daemons.size()), all.ends[0], all.ends[1],
                all.orders.load(), all.answered.load(), all.lost.load());
    const bool broken =
        std::all_of(all.ends.begin(), all.ends.end(), [](int ends) { return ends >= rounds; });
    return broken ? rule_broken : rule_held;
}

} // namespace rig
