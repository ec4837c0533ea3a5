#pragma once

// What cases 7 and 10 share: a crowd of callers sends requests that are legal in size, one after
// another on each connection, while ordinary callers ask for their lookups.
#include "rig.h"

#include <array>

namespace rig {

constexpr double phase_s = 20;
constexpr double ordinary_interval_s = 0.1;
constexpr double route_timeout_s = 2.5;
constexpr double answer_slack_s = 0.5;
constexpr double caller_limit_s = 5;
constexpr double question_limit_s = 1;

/// A crowd: its connections, its requests, and ordinary ones of the same size.
struct crowd {
    int connections = 0;
    std::string bad;
    std::string ordinary;
};

struct crowd_counts {
    std::atomic<int> crowd_sent{0};
    std::atomic<int> crowd_answered{0};
    std::atomic<int> ordinary{0};
    std::atomic<int> answered{0};
    std::atomic<int> open_at_timeout{0};
    std::atomic<int> open_after_slack{0};
    std::atomic<int> questions{0};
    std::atomic<int> ready{0};
};

/// Sends one request after another, each after the answer to the one before.
inline void press(const address& to, const std::string& request, double until, crowd_counts& all)
{
    int fd = -1;
    std::string buf;
    message answer;
    while (now_s() < until) {
        fd = fd < 0 ? connect_to(to) : fd;
        if (fd < 0) {
            sleep_s(0.1);
            continue;
        }
        ++all.crowd_sent;
        if (!send_all(fd, request) || read_message(fd, buf, answer, until) != read_end::complete) {
            ::close(fd);
            fd = -1;
            buf.clear();
            continue;
        }
        ++all.crowd_answered;
    }
    ::close(fd);
}

inline void ask_ordinary(const address& to, int number, record& log, crowd_counts& all)
{
    const double start = now_s();
    const int fd = connect_to(to);
    std::string buf;
    message answer;
    const auto id = "ordinary-" + std::to_string(number);
    const bool complete =
        fd >= 0 &&
        send_all(fd, "GET /check/" + std::to_string(number) +
                         " HTTP/1.1\r\nHost: " + deployment::host + "\r\nX-Attempt-Id: " + id +
                         "\r\nX-Deadline-Ms: 5000\r\n\r\n") &&
        read_message(fd, buf, answer, start + caller_limit_s) == read_end::complete;
    ::close(fd);
    const double took = now_s() - start;
    ++all.ordinary;
    all.answered += complete ? 1 : 0;
    all.open_at_timeout += !complete || took > route_timeout_s ? 1 : 0;
    all.open_after_slack += !complete || took > route_timeout_s + answer_slack_s ? 1 : 0;
    log.line("ordinary id=%s status=%d after_s=%.3f", id.c_str(), complete ? answer.status() : 0,
             took);
}

inline void ask_ready(const entry& of, double until, record& log, crowd_counts& all)
{
    while (now_s() < until) {
        const double start = now_s();
        const bool ready = of.ready();
        ++all.questions;
        all.ready += ready ? 1 : 0;
        log.line("ready question answered_200=%d after_s=%.3f", ready ? 1 : 0, now_s() - start);
        sleep_s(std::max(0.0, question_limit_s - (now_s() - start)));
    }
}

inline void run_phase(deployment& it, const char* name, int connections, const std::string& request,
                      crowd_counts& all)
{
    auto& target = *it.daemons.front();
    const double until = now_s() + phase_s;
    const double before = target.processor_s();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(connections) + 1);
    for (int n = 0; n < connections; ++n) {
        threads.emplace_back([&] { press(target.callers, request, until, all); });
    }
    threads.emplace_back([&] { ask_ready(target, until, it.log, all); });
    for (int n = 0; now_s() + caller_limit_s < until; ++n) {
        threads.emplace_back([&, n] { ask_ordinary(target.callers, n, it.log, all); });
        sleep_s(ordinary_interval_s);
    }
    for (auto& each : threads) {
        each.join();
    }
    it.log.line("phase=%s request_bytes=%zu crowd_sent=%d crowd_answered=%d crowd_bytes_per_s=%.0f "
                "processor_s=%.1f of %.0f s ordinary=%d answered=%d open_at_timeout=%d "
                "open_0.5_s_later=%d ready_questions=%d answered_200=%d",
                name, request.size(), all.crowd_sent.load(), all.crowd_answered.load(),
                static_cast<double>(request.size()) * all.crowd_sent / phase_s,
                target.processor_s() - before, phase_s, all.ordinary.load(), all.answered.load(),
                all.open_at_timeout.load(), all.open_after_slack.load(), all.questions.load(),
                all.ready.load());
}

inline int play_crowd_case(deployment& it, const crowd& of)
{
    it.start(4, {});
    crowd_counts plain;
    run_phase(it, "ordinary_requests", of.connections, of.ordinary, plain);
    sleep_s(2);
    crowd_counts bad;
    run_phase(it, it.trouble ? "bad_requests" : "ordinary_requests", of.connections,
              it.trouble ? of.bad : of.ordinary, bad);
    constexpr int least = 20;
    const bool broken =
        bad.open_at_timeout >= least && 2 * bad.open_after_slack > bad.open_at_timeout;
    if (plain.open_at_timeout > 0 || it.daemons.front()->ended()) {
        return could_not_run;
    }
    return broken ? rule_broken : rule_held;
}

} // namespace rig
