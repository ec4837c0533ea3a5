// Answers of the store about the upstreams are lost; later an upstream drains and exits.
#include "cases.h"

namespace toucan::review {

namespace {

/// RULES.md: `contact_s` and `drain_s`.
constexpr milliseconds contact{4000};
constexpr milliseconds drain_time{2500};
/// Time between two upstreams that join (`scale_out`, `gap_s`).
constexpr milliseconds join_gap{2000};
/// Time from the acceptance of the draining report to the exit of the upstream.
constexpr milliseconds drain_to_exit{4000};
constexpr milliseconds read_limit{4000};
constexpr double cold_s = 3;
constexpr unsigned clients_per_machine = 8;

/// Sends registrations one after the other.
void run_client(deployment& all, const machine& to, unsigned number, const std::atomic<bool>& over)
{
    std::unique_ptr<connection> peer;
    for (unsigned n = 0; !over; ++n) {
        const auto id = to.name + "-" + std::to_string(number * 1000 + n);
        if (!peer) {
            peer = connection::open(to.front(), milliseconds(1000));
        }
        message answer;
        const auto request = client_request("POST", "/consent/1?work=800", id, 3000, "consent");
        if (!peer || !peer->send(request) || peer->read(answer, read_limit) != read_end::complete) {
            all.out().line("client " + id + ": no answer, runs " + std::to_string(all.runs(id)));
            peer.reset();
            continue;
        }
        all.out().line("client " + id + ": " + std::to_string(answer.status()) + ", runs " +
                       std::to_string(all.runs(id)));
    }
}

} // namespace

int run_lost_answer_case(deployment& all, bool trouble)
{
    for (const auto* zone : {"west-a", "east-a"}) {
        const auto region = std::string(zone).substr(0, 4);
        all.add_machine(zone, region);
        all.add_machine(zone, region);
    }
    all.add_upstreams("checkdesk", "west-a", 4);
    all.add_upstreams("checkdesk", "east-a", 4);
    if (!all.start({{"r-consent", route("/consent/", "unsafe", 3, 2)}})) {
        return could_not_run;
    }
    std::atomic<bool> over = false;
    std::vector<std::thread> clients;
    for (const auto& to : all.machines()) {
        for (unsigned n = 0; n < clients_per_machine; ++n) {
            clients.emplace_back([&, n] { run_client(all, to, n, over); });
        }
    }
    all.add_upstreams("checkdesk", "west-a", 1, cold_s);
    std::this_thread::sleep_for(join_gap);
    const auto before = all.platform().given_answers();
    if (trouble) {
        all.platform().lose_next_answers("servers");
    }
    all.add_upstreams("checkdesk", "east-a", 1, cold_s);
    std::this_thread::sleep_for(contact + milliseconds(300));
    all.out().line("answers of the store in the last " +
                   std::to_string((contact + milliseconds(300)).count()) + " ms: given " +
                   std::to_string(all.platform().given_answers() - before) + ", lost " +
                   std::to_string(all.platform().lost_answers()));
    auto& leaving = all.upstream_at(0);
    leaving.drain();
    const auto accepted = steady_clock::now();
    std::this_thread::sleep_until(accepted + drain_to_exit);
    const auto late = leaving.runs_since(accepted + drain_time);
    leaving.exit();
    std::this_thread::sleep_for(milliseconds(1000));
    over = true;
    for (auto& it : clients) {
        it.join();
    }
    unsigned lost = 0;
    for (const auto& id : late) {
        const bool answered = leaving.answered(id);
        lost += answered ? 0 : 1;
        all.out().line("reached the draining upstream later than drain_s: " + id +
                       (answered ? "" : ", lost when the upstream exited"));
    }
    all.out().line("requests that reached the draining upstream later than drain_s: " +
                   std::to_string(late.size()) + ", lost when it exited: " + std::to_string(lost));
    return late.empty() ? rule_held : rule_broken;
}

} // namespace toucan::review
