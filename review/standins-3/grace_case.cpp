#include "caller.h"
#include "case_main.h"
#include "configuration.h"
#include "deployment.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>

// The settings file of a machine changes without a signal: `grace_s` goes from 10 to 6 seconds. The
// platform then stops the machine: SIGTERM, and SIGKILL after the grace that the file names. With
// TROUBLE=0 the file stays as it is.
namespace review {

namespace {

constexpr milliseconds start_limit{20000};
constexpr milliseconds work{3360};
constexpr milliseconds first_calls{11000};
constexpr milliseconds after_change{5000};
constexpr double grace_before_s = 10;
constexpr double grace_after_s = 6;
constexpr unsigned callers = 12;
constexpr unsigned early_rounds = 4;
/// The callers hold an older answer of the directory: three times its 1.5 s.
constexpr milliseconds first_late_request{3100};
constexpr milliseconds late_request_step{120};
constexpr milliseconds answer_limit{14500};
/// Requests that are sent later than this after SIGTERM aren't excused by work that lasts too long.
constexpr milliseconds excused_until{3000};
constexpr milliseconds check_interval{20};

class grace_case {
public:
    grace_case(const char* program, const char* folder, bool trouble)
        : trouble_(trouble),
          machines_(program, folder, platform_, log_, {"rs-a", "rs-b"}, {182, 120, grace_before_s})
    {
    }

    int run();
    void write_record(const std::string& path) { log_.write(path); }

private:
    struct result {
        milliseconds sent{0};
        milliseconds ended{0};
        int status = 0;
    };

    void call(unsigned caller);
    void send(link& to, const std::string& id);
    int judge();

    bool trouble_;
    record log_;
    store platform_;
    arrivals arrivals_;
    upstream first_{{"i-first", service, "rs-a", 9, 27, work}, platform_, arrivals_};
    upstream second_{{"i-second", service, "rs-b", 9, 27, work}, platform_, arrivals_};
    deployment machines_;
    std::atomic<bool> stopping_{false};
    milliseconds stopped_at_{0};
    std::mutex mutex_;
    std::map<std::string, result> results_;
};

void grace_case::send(link& to, const std::string& id)
{
    const auto sent = elapsed();
    // The time limit is that of `employer-verify` of the large site.
    to.send("GET " + std::string(safe_prefix) + id + " HTTP/1.1\r\nHost: " + host +
            "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 15000\r\n\r\n");
    const auto answer = to.read(answer_limit, true);
    const int status = answer ? answer->status() : 0;
    log_.add(
        id + " sent at " + std::to_string(sent.count()) + " ms, " +
        (answer ? "answered " + std::to_string(status) : "connection ended without an answer"));
    const std::lock_guard lock(mutex_);
    results_[id] = {sent, elapsed(), status};
}

void grace_case::call(unsigned caller)
{
    auto to = link::to(machines_.machines().front().callers);
    for (unsigned round = 0; round < early_rounds; ++round) {
        send(to, "early-" + std::to_string(caller) + "-" + std::to_string(round));
    }
    while (!stopping_) {
        std::this_thread::sleep_for(check_interval);
    }
    std::this_thread::sleep_for(first_late_request + caller * late_request_step);
    send(to, "late-" + std::to_string(caller));
}

int grace_case::judge()
{
    unsigned lost = 0;
    unsigned answered = 0;
    for (const auto& it : arrivals_.all()) {
        const auto found = results_.find(it.id);
        if (found == results_.end()) {
            continue;
        }
        const auto& end = found->second;
        answered += end.status > 0 ? 1 : 0;
        const bool cut = end.status == 0 && end.sent > stopped_at_ + excused_until &&
                         end.ended < end.sent + answer_limit;
        if (it.ran && cut) {
            ++lost;
            log_.add(it.id + ", sent " + std::to_string((end.sent - stopped_at_).count()) +
                     " ms after SIGTERM, was passed on to " + it.upstream + " at " +
                     std::to_string(it.at.count()) + " ms and cut off at " +
                     std::to_string(end.ended.count()) + " ms");
        }
    }
    const auto summary = std::to_string(lost) + " requests were passed on and cut off, " +
                         std::to_string(answered) + " that reached an upstream were answered";
    log_.add(summary);
    log_.add(lost > 0 ? "BROKEN" : "held");
    std::cout << (lost > 0 ? "BROKEN: " : "held: ") << summary << std::endl;
    return lost > 0 ? 1 : answered == 0 ? 2 : 0;
}

int grace_case::run()
{
    route_settings routes;
    routes.safe_timeout_s = 15;
    routes.target_latency_s = 4;
    platform_.put("op", "config", configuration(7, routes));
    if (!machines_.wait_until_ready(start_limit)) {
        log_.add("the machines are not ready");
        return 2;
    }
    auto& stopped = machines_.machines().front();
    std::vector<std::thread> all;
    for (unsigned n = 0; n < callers; ++n) {
        all.emplace_back([this, n] { call(n); });
    }
    std::this_thread::sleep_for(first_calls);
    if (trouble_) {
        machines_.change_grace(stopped, grace_after_s);
    }
    std::this_thread::sleep_for(after_change);
    const double grace_s = trouble_ ? grace_after_s : grace_before_s;
    stopped_at_ = elapsed();
    stopping_ = true;
    log_.add("SIGTERM to " + stopped.name);
    deployment::send_signal(stopped, SIGTERM);
    const auto kill_at = stopped_at_ + milliseconds(static_cast<std::int64_t>(grace_s * 1e3));
    while (elapsed() < kill_at && !machines_.ended(stopped)) {
        std::this_thread::sleep_for(check_interval);
    }
    machines_.kill(stopped);
    for (auto& it : all) {
        it.join();
    }
    return judge();
}

} // namespace

} // namespace review

int main(int count, char** arguments)
{
    return review::case_main<review::grace_case>(count, arguments);
}
