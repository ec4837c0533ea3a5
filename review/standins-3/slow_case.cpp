#include "caller.h"
#include "case_main.h"
#include "configuration.h"
#include "deployment.h"

#include <csignal>
#include <iostream>

// A machine gets SIGTERM while it passes on an upload of a safe route. The upstreams begin the
// request by its head and read the body 3 s later. With TROUBLE=0 they read at once.
namespace review {

namespace {

constexpr milliseconds start_limit{20000};
constexpr milliseconds read_pause{3000};
/// Longer than `contact_s` (4 s), so that the start of the machines is no disturbance.
constexpr milliseconds calm_time{5000};
constexpr milliseconds stop_after{1000};
constexpr milliseconds answer_limit{14000};
constexpr milliseconds check_interval{20};
constexpr milliseconds grace{6000};
/// Of the `max_body_bytes` of 64 MiB.
constexpr std::size_t body_bytes = 24U << 20U;
constexpr unsigned limit_ms = 12000;
constexpr unsigned callers = 2;

class slow_case {
public:
    slow_case(const char* program, const char* folder, bool trouble)
        : pause_(trouble ? read_pause : milliseconds(0)),
          machines_(program, folder, platform_, log_, {"rs-a", "rs-b"}, {})
    {
    }

    int run();
    void write_record(const std::string& path) { log_.write(path); }

private:
    [[nodiscard]] upstream_settings settings_of(const char* id, const char* zone) const
    {
        upstream_settings it{id, service, zone};
        it.read_pause = pause_;
        return it;
    }
    void upload(unsigned caller);

    milliseconds pause_;
    record log_;
    store platform_;
    arrivals arrivals_;
    upstream first_{settings_of("i-first", "rs-a"), platform_, arrivals_};
    upstream second_{settings_of("i-second", "rs-b"), platform_, arrivals_};
    deployment machines_;
    std::atomic<unsigned> served_{0};
    std::atomic<unsigned> broken_off_{0};
};

void slow_case::upload(unsigned caller)
{
    auto to = link::to(machines_.machines().front().callers);
    const auto id = "upload-" + std::to_string(caller);
    to.send(request_head("POST", std::string(safe_prefix) + id, id,
                         "Content-Length: " + std::to_string(body_bytes) + "\r\n", limit_ms) +
            std::string(body_bytes, 'b'));
    log_.add(id + " has been sent");
    const auto answer = to.read(answer_limit, true);
    const int status = answer ? answer->status() : 0;
    log_.add(id + (answer ? " is answered " + std::to_string(status) : " gets no answer"));
    ++(status == 200 ? served_ : broken_off_);
}

int slow_case::run()
{
    route_settings routes;
    routes.safe_timeout_s = limit_ms / 1e3;
    routes.target_latency_s = 4;
    platform_.put("op", "config", configuration(7, routes));
    if (!machines_.wait_until_ready(start_limit)) {
        log_.add("the machines are not ready");
        return 2;
    }
    std::this_thread::sleep_for(calm_time);
    std::vector<std::thread> all;
    for (unsigned n = 0; n < callers; ++n) {
        all.emplace_back([this, n] { upload(n); });
    }
    std::this_thread::sleep_for(stop_after);
    auto& stopped = machines_.machines().front();
    log_.add("SIGTERM to " + stopped.name);
    deployment::send_signal(stopped, SIGTERM);
    const auto kill_at = elapsed() + grace;
    while (elapsed() < kill_at && !machines_.ended(stopped)) {
        std::this_thread::sleep_for(check_interval);
    }
    machines_.kill(stopped);
    for (auto& it : all) {
        it.join();
    }
    for (const auto& it : arrivals_.all()) {
        log_.add("at " + std::to_string(it.at.count()) + " ms " + it.upstream + " works on " +
                 it.id + " " + it.target);
    }
    const bool broken = broken_off_ > 0;
    const auto summary =
        std::to_string(broken_off_) + " uploads broken off, " + std::to_string(served_) + " served";
    log_.add((broken ? "BROKEN: " : "held: ") + summary);
    std::cout << (broken ? "BROKEN: " : "held: ") << summary << std::endl;
    return broken ? 1 : 0;
}

} // namespace

} // namespace review

int main(int count, char** arguments)
{
    return review::case_main<review::slow_case>(count, arguments);
}
