// Clients that have two idempotent requests open on a connection while their machine is stopped.
#include "cases.h"

#include <csignal>

namespace toucan::review {

namespace {

constexpr milliseconds first_to_signal{300};
constexpr milliseconds signal_to_second{100};
constexpr milliseconds read_limit{6000};
/// RULES.md, `loss_slack_s`.
constexpr milliseconds loss_slack{200};
constexpr unsigned clients = 6;

struct outcome {
    bool lost = false;
    std::string text;
};

outcome run_client(deployment& all, const machine& to, const std::string& name,
                   std::atomic<bool>& second_may_go)
{
    outcome it;
    const auto peer = connection::open(to.front(), milliseconds(1000));
    const auto first = name + "-a";
    const auto second = name + "-b";
    if (!peer || !peer->send(client_request("GET", "/status/1?work=1200", first, 3000))) {
        it.text = "first request not sent";
        return it;
    }
    while (!second_may_go) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    if (!peer->send(client_request("GET", "/status/2?work=100", second, 3000))) {
        it.text = "second request not sent";
        return it;
    }
    const auto sent = steady_clock::now();
    message answer;
    const auto first_end = peer->read(answer, read_limit);
    it.text = "first: " + std::string(first_end == read_end::complete ? "status " : "none ") +
              std::to_string(answer.status()) + " Connection: " + answer.header("Connection");
    message next;
    const auto second_end = peer->read(next, read_limit);
    const auto waited = steady_clock::now() - sent;
    const bool answered = second_end == read_end::complete;
    it.lost = !answered && second_end != read_end::timed_out && waited > loss_slack;
    it.text += ", second: " +
               (answered ? "status " + std::to_string(next.status())
                         : std::string("no answer, connection ended")) +
               " " + std::to_string(std::chrono::duration_cast<milliseconds>(waited).count()) +
               " ms after its last byte, runs " + std::to_string(all.runs(second));
    return it;
}

} // namespace

int run_pipeline_case(deployment& all, bool trouble)
{
    all.add_machine("west-a", "west");
    all.add_machine("west-b", "west");
    all.add_upstreams("checkdesk", "west-a", 2);
    all.add_upstreams("checkdesk", "west-b", 2);
    if (!all.start({{"r-status", route("/status/", "safe", 3, 2)}})) {
        return could_not_run;
    }
    auto& stopped = all.machines().front();
    std::atomic<bool> second_may_go = false;
    std::mutex mutex;
    unsigned lost = 0;
    std::vector<std::thread> threads;
    for (unsigned n = 0; n < clients; ++n) {
        threads.emplace_back([&, n] {
            const auto name = "pipeline-" + std::to_string(n);
            const auto it = run_client(all, stopped, name, second_may_go);
            all.out().line("client " + name + ": " + it.text);
            const std::lock_guard lock(mutex);
            lost += it.lost ? 1 : 0;
        });
    }
    std::this_thread::sleep_for(first_to_signal);
    if (trouble) {
        all.signal(stopped, SIGTERM);
    }
    std::this_thread::sleep_for(signal_to_second);
    second_may_go = true;
    for (auto& it : threads) {
        it.join();
    }
    if (trouble) {
        all.wait_end(stopped, milliseconds(7000));
    }
    all.out().line("whole requests without an answer, later than loss_slack_s: " +
                   std::to_string(lost) + " of " + std::to_string(clients));
    return lost > 0 ? rule_broken : rule_held;
}

} // namespace toucan::review
