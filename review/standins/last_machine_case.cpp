// All machines but one are lost for good; the last one goes on answering look-ups.
#include "cases.h"

#include <csignal>

namespace toucan::review {

namespace {

/// RULES.md, DRAIN: `contact_s` + 3 s, and more than three answers.
constexpr std::chrono::seconds longest{7};
constexpr std::chrono::seconds asked_for{20};
constexpr milliseconds ask_step{1000};
constexpr unsigned allowed = 3;

} // namespace

int run_last_machine_case(deployment& all, bool trouble)
{
    all.add_machine("west-a", "west");
    all.add_machine("west-a", "west");
    all.add_machine("west-b", "west");
    all.add_upstreams("checkdesk", "west-a", 2);
    all.add_upstreams("checkdesk", "west-b", 2);
    if (!all.start({{"r-status", route("/status/", "safe", 3, 2)}})) {
        return could_not_run;
    }
    auto& machines = all.machines();
    for (std::size_t n = 1; trouble && n < machines.size(); ++n) {
        all.signal(machines[n], SIGKILL);
        all.wait_end(machines[n], milliseconds(2000));
    }
    const auto killed = steady_clock::now();
    unsigned wrong = 0;
    while (steady_clock::now() < killed + longest + asked_for) {
        std::this_thread::sleep_for(ask_step);
        message answer;
        const auto peer = connection::open(machines[0].directory(), milliseconds(1000));
        if (!peer ||
            !peer->send("GET /toucanpoint/resolve?name=review.example&region=west&zone=west-a "
                        "HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n") ||
            peer->read(answer, milliseconds(1000)) != read_end::complete) {
            continue;
        }
        const bool late = steady_clock::now() > killed + longest;
        const auto names = [&](const machine& it) {
            return answer.body.find('"' + it.front().text() + '"') != std::string::npos;
        };
        const bool stale =
            trouble && names(machines[0]) && (names(machines[1]) || names(machines[2]));
        wrong += late && stale ? 1 : 0;
        all.out().line("look-up: " + std::to_string(answer.status()) + " " + answer.body +
                       (late && stale ? " names a machine killed over 7 s before" : ""));
    }
    all.out().line("answers that name a killed machine beside a running one: " +
                   std::to_string(wrong));
    return wrong > allowed ? rule_broken : rule_held;
}

} // namespace toucan::review
