// An upstream that fails part of its requests after it has begun to work on them.
#include "cases.h"

namespace toucan::review {

namespace {

constexpr milliseconds read_limit{4000};
constexpr unsigned requests = 60;
/// SYSTEM.md, `srv_grey`: the largest share of upstreams and of requests in the site file.
constexpr unsigned failing_in_100 = 45;

} // namespace

int run_refusal_case(deployment& all, bool trouble)
{
    all.add_machine("west-a", "west");
    all.add_machine("west-b", "west");
    all.add_upstreams("checkdesk", "west-a", 4);
    all.add_upstreams("checkdesk", "west-b", 4);
    if (!all.start({{"r-consent", route("/consent/", "unsafe", 3, 2)}})) {
        return could_not_run;
    }
    unsigned broken = 0;
    for (unsigned n = 0; n < requests; ++n) {
        const auto& to = all.machines()[n % all.machines().size()];
        const auto id = "refusal-" + std::to_string(n);
        const bool fails = n * failing_in_100 / 100 != (n + 1) * failing_in_100 / 100;
        const auto status = fails ? (trouble ? "429" : "500") : "200";
        const auto peer = connection::open(to.front(), milliseconds(1000));
        message answer;
        if (!peer ||
            !peer->send(client_request("POST", std::string("/consent/1?work=50&status=") + status,
                                       id, 3000, "consent"))) {
            continue;
        }
        const auto end = peer->read(answer, read_limit);
        const int got = end == read_end::complete ? answer.status() : 0;
        const auto runs = all.runs(id);
        const bool promise = got == 408 || got == 421 || got == 429 || got == 503;
        broken += promise && runs > 0 ? 1 : 0;
        all.out().line("client " + id + ": POST answered " + std::to_string(got) + " seal=" +
                       answer.header("X-Server-Seal") + ", runs " + std::to_string(runs));
    }
    all.out().line("non-idempotent requests that ran and were answered 408, 421, 429 or 503: " +
                   std::to_string(broken));
    return broken > 0 ? rule_broken : rule_held;
}

} // namespace toucan::review
