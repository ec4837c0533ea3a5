#include "caller.h"
#include "case_main.h"
#include "configuration.h"
#include "deployment.h"

#include <algorithm>
#include <iostream>
#include <map>

// An upstream leaves, says so in its answers and takes its entry away. The store then comes back
// from a copy that still has the entry; the upstream takes it away once more within two seconds,
// and ends.
namespace review {

namespace {

constexpr milliseconds start_limit{20000};
constexpr milliseconds answer_limit{6000};
/// The callers differ in their pauses, so that they don't go in step.
constexpr milliseconds pause{20};
constexpr milliseconds pause_step{30};
constexpr unsigned callers = 12;
/// About those of `delivery-order` in sites/fagyfeny.toml.
constexpr milliseconds work{900};
constexpr unsigned limit_ms = 4000;
constexpr milliseconds drain_time{2500};

constexpr milliseconds calm_time{3000};
constexpr milliseconds copied_before{1000};
/// The copy is 1 + 5 + 2 s old when the store is back: less than `x = 9.0` of the users' line.
constexpr milliseconds left_before_outage{5000};
constexpr milliseconds outage{2000};
/// An upstream's entries are written again within about two seconds.
constexpr milliseconds written_again{2000};
constexpr milliseconds rest_time{3000};

class restored_case {
public:
    restored_case(const char* program, const char* folder, bool trouble)
        : trouble_(trouble), machines_(program, folder, platform_, log_, {"rs-a", "rs-b"}, {})
    {
    }

    int run();
    void write_record(const std::string& path) { log_.write(path); }

private:
    void call_in_turn(unsigned caller);
    int judge();

    struct answer {
        std::size_t machine = 0;
        int status = 0;
        milliseconds sent{0};
    };

    bool trouble_;
    record log_;
    store platform_;
    arrivals arrivals_;
    upstream first_{{"i-first", service, "rs-a", 9, 27, work}, platform_, arrivals_};
    upstream leaving_{{"i-leaving", service, "rs-b", 9, 27, work}, platform_, arrivals_};
    deployment machines_;
    std::atomic<bool> stop_{false};
    std::mutex mutex_;
    /// When a machine first passed on an answer with `Server-Leaving`.
    std::map<std::size_t, milliseconds> passed_on_;
    std::map<std::string, answer> answers_;
};

void restored_case::call_in_turn(unsigned caller)
{
    const auto machine = caller % machines_.machines().size();
    const auto& to_machine = machines_.machines().at(machine);
    link to;
    for (unsigned n = 0; !stop_; ++n) {
        if (!to.open()) {
            to = link::to(to_machine.callers);
        }
        const auto id = "order-" + std::to_string(caller) + "-" + std::to_string(n);
        const auto path = std::string(unsafe_prefix) + std::to_string(n);
        const auto sent = elapsed();
        to.send(request_head("POST", path, id, "Content-Length: 5\r\n", limit_ms) + "hello");
        const auto got = to.read(answer_limit, true);
        const int status = got ? got->status() : 0;
        log_.add(id + " sent at " + std::to_string(sent.count()) + " ms, answered " +
                 std::to_string(status));
        if (!got || got->header("Connection") == "close") {
            to.close();
        }
        {
            const std::lock_guard lock(mutex_);
            answers_[id] = {machine, status, sent};
            if (got && got->header("Server-Leaving") == "1" &&
                passed_on_.emplace(machine, elapsed()).second) {
                log_.add(to_machine.name + " has passed on an answer with Server-Leaving");
            }
        }
        std::this_thread::sleep_for(pause + caller * pause_step);
    }
}

int restored_case::judge()
{
    unsigned served = 0;
    unsigned late = 0;
    unsigned lost = 0;
    for (const auto& it : arrivals_.all()) {
        const auto found = answers_.find(it.id);
        if (found == answers_.end() || !it.ran) {
            continue;
        }
        served += found->second.status == 200 ? 1 : 0;
        const auto passed_on = passed_on_.find(found->second.machine);
        if (it.upstream == "i-leaving" && passed_on != passed_on_.end() &&
            found->second.sent > passed_on->second + drain_time) {
            ++late;
            lost += found->second.status == 200 ? 0 : 1;
            log_.add("at " + std::to_string(it.at.count()) + " ms i-leaving gets " + it.id +
                     ", sent at " + std::to_string(found->second.sent.count()) + " ms, answered " +
                     std::to_string(found->second.status));
        }
    }
    const auto summary = std::to_string(late) + " requests sent more than " +
                         std::to_string(drain_time.count()) +
                         " ms after their machine had passed on an answer with Server-Leaving "
                         "reached the upstream, " +
                         std::to_string(lost) + " of them were not served; " +
                         std::to_string(served) + " requests were served in all";
    log_.add(summary);
    log_.add(late > 0 ? "BROKEN" : "held");
    std::cout << (late > 0 ? "BROKEN: " : "held: ") << summary << std::endl;
    return late > 0 ? 1 : served == 0 ? 2 : 0;
}

int restored_case::run()
{
    route_settings routes;
    routes.unsafe_timeout_s = limit_ms / 1e3;
    routes.target_latency_s = 1;
    platform_.put("op", "config", configuration(7, routes));
    if (!machines_.wait_until_ready(start_limit)) {
        log_.add("the machines are not ready");
        return 2;
    }
    std::vector<std::thread> all;
    for (unsigned n = 0; n < callers; ++n) {
        all.emplace_back([this, n] { call_in_turn(n); });
    }
    std::this_thread::sleep_for(calm_time);
    platform_.copy();
    std::this_thread::sleep_for(copied_before);
    log_.add("i-leaving begins to leave");
    leaving_.leave();
    std::this_thread::sleep_for(left_before_outage);
    if (trouble_) {
        log_.add("the store is away");
        platform_.set_down(true);
    }
    std::this_thread::sleep_for(outage);
    if (trouble_) {
        platform_.restore();
        platform_.set_down(false);
        log_.add("the store is back from a copy");
    }
    std::this_thread::sleep_for(written_again);
    leaving_.remove_entry();
    log_.add("i-leaving takes its entry away once more and ends");
    leaving_.stop();
    std::this_thread::sleep_for(rest_time);
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
    return review::case_main<review::restored_case>(count, arguments);
}
