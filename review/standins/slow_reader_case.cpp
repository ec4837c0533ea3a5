// Clients on kept connections that stop reading for some seconds in the middle of an answer.
#include "cases.h"

#include <csignal>

namespace toucan::review {

namespace {

constexpr std::size_t answer_bytes = 2000000;
constexpr milliseconds pause{4000};
constexpr milliseconds read_limit{8000};
constexpr int deadline_ms = 12000;
constexpr unsigned clients_per_machine = 4;
/// RULES.md, LOST, "At any time": more than three times.
constexpr unsigned allowed = 3;

struct outcome {
    bool complete = false;
    std::string text;
};

outcome run_client(const machine& to, const std::string& name, bool pauses)
{
    outcome it;
    const auto peer = connection::open(to.front(), milliseconds(1000));
    message answer;
    if (!peer || !peer->send(client_request("GET", "/status/1?work=20", name + "-a", 3000)) ||
        peer->read(answer, read_limit) != read_end::complete || answer.status() != 200) {
        it.text = "first request failed";
        it.complete = true;
        return it;
    }
    const auto id = name + "-b";
    const auto target = "/consent/1?work=100&size=" + std::to_string(answer_bytes);
    if (!peer->send(client_request("POST", target, id, deadline_ms, "consent"))) {
        it.text = "send failed";
        return it;
    }
    static_cast<void>(peer->wait_readable(read_limit));
    if (pauses) {
        std::this_thread::sleep_for(pause);
    }
    const auto end = peer->read(answer, read_limit);
    it.complete = end == read_end::complete && answer.status() == 200 &&
                  answer.body == answer_body(id, answer_bytes);
    it.text = "status " + std::to_string(answer.status()) + ", " +
              std::to_string(peer->body_bytes()) + " of " + std::to_string(answer_bytes) +
              " bytes, " +
              (end == read_end::complete ? "complete"
               : end == read_end::closed ? "connection closed"
               : end == read_end::reset  ? "connection reset"
                                         : "no more bytes");
    return it;
}

} // namespace

int run_slow_reader_case(deployment& all, bool trouble)
{
    all.add_machine("west-a", "west");
    all.add_machine("west-b", "west");
    all.add_upstreams("checkdesk", "west-a", 2);
    all.add_upstreams("checkdesk", "west-b", 2);
    if (!all.start({{"r-status", route("/status/", "safe", 3, 2)},
                    {"r-consent", route("/consent/", "unsafe", 12, 1)}})) {
        return could_not_run;
    }
    std::mutex mutex;
    unsigned lost = 0;
    unsigned asked = 0;
    std::vector<std::thread> clients;
    for (auto& it : all.machines()) {
        all.signal(it, SIGHUP);
    }
    std::this_thread::sleep_for(milliseconds(500));
    for (const auto& to : all.machines()) {
        for (unsigned n = 0; n < clients_per_machine; ++n) {
            clients.emplace_back([&, n] {
                const auto name = to.name + "-" + std::to_string(n);
                const auto it = run_client(to, name, trouble);
                all.out().line("client " + name + ": POST /consent/ " + it.text);
                const auto runs = all.runs(name + "-b");
                const std::lock_guard lock(mutex);
                ++asked;
                lost += !it.complete && runs > 0 ? 1 : 0;
            });
        }
    }
    for (auto& it : clients) {
        it.join();
    }
    all.out().line("requests that ran and whose connection ended without a complete answer: " +
                   std::to_string(lost) + " of " + std::to_string(asked));
    return lost > allowed ? rule_broken : rule_held;
}

} // namespace toucan::review
