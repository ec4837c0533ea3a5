#include "caller.h"
#include "case_main.h"
#include "configuration.h"
#include "deployment.h"

#include <algorithm>
#include <iostream>
#include <map>

// One of two upstreams sends additional bytes after some of its complete answers. They arrive late,
// when the next request on the connection runs, and read like failures, but name no request.
namespace review {

namespace {

constexpr milliseconds start_limit{20000};
constexpr milliseconds answer_limit{3000};
constexpr milliseconds pause{20};
constexpr milliseconds play_time{20000};
constexpr unsigned callers = 4;
/// One in 40 answers: less than `x = 0.03` of the users' days.
constexpr unsigned extra_every = 40;
constexpr const char* extra_refusal =
    "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr const char* extra_failure = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
constexpr int not_found = 404;

bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

class extra_case {
public:
    extra_case(const char* program, const char* folder, bool trouble)
        : second_({"i-second",
                   service,
                   "rs-b",
                   9,
                   27,
                   milliseconds(50),
                   0,
                   milliseconds(0),
                   {extra_refusal, extra_failure},
                   trouble ? extra_every : 0},
                  platform_, arrivals_),
          machines_(program, folder, platform_, log_, {"rs-a", "rs-b"}, {})
    {
    }

    int run();
    void write_record(const std::string& path) { log_.write(path); }

private:
    void call_in_turn(unsigned caller);
    int judge();

    record log_;
    store platform_;
    arrivals arrivals_;
    upstream first_{{"i-first", service, "rs-a"}, platform_, arrivals_};
    upstream second_;
    deployment machines_;
    std::atomic<bool> stop_{false};
    std::mutex mutex_;
    std::map<std::string, int> answers_;
};

void extra_case::call_in_turn(unsigned caller)
{
    const auto& to_machine = machines_.machines().at(caller % machines_.machines().size());
    link to;
    for (unsigned n = 0; !stop_; ++n) {
        if (!to.open()) {
            to = link::to(to_machine.callers);
        }
        const auto id = "order-" + std::to_string(caller) + "-" + std::to_string(n);
        const auto path = std::string(unsafe_prefix) + std::to_string(n);
        to.send(request_head("POST", path, id, "Content-Length: 5\r\n") + "hello");
        const auto answer = to.read(answer_limit, true);
        const int status = answer ? answer->status() : 0;
        log_.add(id + " answered " + std::to_string(status) +
                 (answer && answer->header("X-Server-Seal").empty() ? " without a seal" : ""));
        if (!answer || answer->header("Connection") == "close") {
            to.close();
        }
        {
            const std::lock_guard lock(mutex_);
            answers_[id] = status;
        }
        std::this_thread::sleep_for(pause);
    }
}

int extra_case::judge()
{
    unsigned served = 0;
    unsigned refused = 0;
    unsigned foreign = 0;
    for (const auto& it : arrivals_.all()) {
        const auto answer = answers_.find(it.id);
        if (!it.ran || answer == answers_.end()) {
            continue;
        }
        served += answer->second == 200 ? 1 : 0;
        // The upstreams never answer 404, and the route is there.
        refused += promises_not_run(answer->second) ? 1 : 0;
        foreign += answer->second == not_found ? 1 : 0;
        if (promises_not_run(answer->second) || answer->second == not_found) {
            log_.add("at " + std::to_string(it.at.count()) + " ms " + it.upstream +
                     " began to run " + it.id + ", which was answered " +
                     std::to_string(answer->second));
        }
    }
    const auto summary = std::to_string(refused) + " answered as not run though they have run, " +
                         std::to_string(foreign) + " answered 404 by bytes of no request, " +
                         std::to_string(served) + " served";
    log_.add(summary);
    const bool broken = refused + foreign > 0;
    log_.add(broken ? "BROKEN" : "held");
    std::cout << (broken ? "BROKEN: " : "held: ") << summary << std::endl;
    return broken ? 1 : served == 0 ? 2 : 0;
}

int extra_case::run()
{
    platform_.put("op", "config", configuration(7));
    if (!machines_.wait_until_ready(start_limit)) {
        log_.add("the machines are not ready");
        return 2;
    }
    std::vector<std::thread> all;
    for (unsigned n = 0; n < callers; ++n) {
        all.emplace_back([this, n] { call_in_turn(n); });
    }
    std::this_thread::sleep_for(play_time);
    stop_ = true;
    for (auto& it : all) {
        it.join();
    }
    return judge();
}

} // namespace

} // namespace review

int main(int count, char** arguments)
{
    return review::case_main<review::extra_case>(count, arguments);
}
