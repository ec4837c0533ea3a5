// Many users upload documents at once. The machines have the memory of the users' machines: the
// stand-in of the platform kills a process that exceeds it and starts it again.
#include "cases.h"

#include <csignal>

namespace toucan::review {

namespace {

constexpr std::size_t body_bytes = 10U << 20U;
constexpr milliseconds read_limit{15000};
constexpr milliseconds watch_step{2};
constexpr milliseconds restart_delay{500};
constexpr unsigned rounds = 3;
/// Clients of one machine: at other times, and while many users come at once (`burst`, x = 1.7).
constexpr unsigned usual_clients = 10;
constexpr unsigned burst_clients = 17;
/// RULES.md, Fault: processes end by themselves three times, on a tenth of the machines, two at
/// least.
constexpr unsigned ends_for_fault = 3;
constexpr unsigned machines_for_fault = 2;

/// Kills a process that exceeds the memory of its machine, as the platform does, and starts it
/// again.
void watch_memory(deployment& all, machine& it, const std::atomic<bool>& over)
{
    double peak = 0;
    while (!over) {
        const double now = resident_mb(it.process);
        peak = std::max(peak, now);
        if (now > memory_mb) {
            all.out().line("memory: " + it.name + " holds " + std::to_string(now) + " MB of " +
                           std::to_string(memory_mb) + ", killed");
            ++it.ended_by_itself;
            all.signal(it, SIGKILL);
            all.wait_end(it, milliseconds(2000));
            std::this_thread::sleep_for(restart_delay);
            all.start_process(it);
        }
        std::this_thread::sleep_for(watch_step);
    }
    all.out().line("memory: " + it.name + " held " + std::to_string(peak) + " MB at most");
}

std::string client_id(const machine& to, unsigned number)
{
    return to.name + "-" + std::to_string(number);
}

std::string describe(const std::string& id, const std::string& text, std::size_t runs)
{
    return "client " + id + ": POST of " + std::to_string(body_bytes) + " bytes, " + text +
           ", runs " + std::to_string(runs);
}

std::string run_client(const machine& to, const std::string& id, const std::string& body)
{
    const auto peer = connection::open(to.front(), milliseconds(1000));
    message answer;
    if (!peer) {
        return "no connection";
    }
    const bool sent = peer->send(client_request("POST", "/consent/1?work=800", id, 12000, body));
    const auto end = peer->read(answer, read_limit);
    return end == read_end::complete ? "status " + std::to_string(answer.status())
                                     : std::string(sent ? "no answer, connection ended"
                                                        : "connection ended while sending");
}

} // namespace

int run_memory_case(deployment& all, bool trouble)
{
    all.add_machine("west-a", "west");
    all.add_machine("west-b", "west");
    all.add_upstreams("checkdesk", "west-a", 3);
    all.add_upstreams("checkdesk", "west-b", 3);
    if (!all.start({{"r-consent", route("/consent/", "unsafe", 12, 1)}})) {
        return could_not_run;
    }
    std::atomic<bool> over = false;
    std::vector<std::thread> watchers;
    for (auto& it : all.machines()) {
        watchers.emplace_back([&] { watch_memory(all, it, over); });
    }
    const std::string body(body_bytes, 'x');
    const unsigned clients = trouble ? burst_clients : usual_clients;
    for (unsigned round = 0; round < rounds; ++round) {
        std::vector<std::thread> threads;
        for (auto& to : all.machines()) {
            for (unsigned n = 0; n < clients; ++n) {
                threads.emplace_back([&, round, n] {
                    const auto id = client_id(to, round * clients + n);
                    const auto text = run_client(to, id, body);
                    all.out().line(describe(id, text, all.runs(id)));
                });
                std::this_thread::sleep_for(milliseconds(20));
            }
        }
        for (auto& it : threads) {
            it.join();
        }
        for (const auto& it : all.machines()) {
            all.wait_ready(it, milliseconds(10000));
        }
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    over = true;
    for (auto& it : watchers) {
        it.join();
    }
    unsigned faulty = 0;
    for (const auto& it : all.machines()) {
        all.out().line("ended by itself: " + it.name + " " + std::to_string(it.ended_by_itself) +
                       " times");
        faulty += it.ended_by_itself >= ends_for_fault ? 1 : 0;
    }
    return faulty >= machines_for_fault ? rule_broken : rule_held;
}

} // namespace toucan::review
