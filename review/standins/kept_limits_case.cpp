// A configuration raises `max_body_bytes` while callers keep their connections.
#include "cases.h"

namespace toucan::review {

namespace {

constexpr std::size_t old_limit = 1U << 20U;
constexpr std::size_t new_limit = 16U << 20U;
constexpr std::size_t body_bytes = 2U << 20U;
constexpr milliseconds read_limit{4000};
/// RULES.md, `config_apply_s`, and as much again.
constexpr milliseconds applied{5000};

int ask(connection& peer, const std::string& id, std::size_t bytes)
{
    message answer;
    const bool sent =
        peer.send(client_request("POST", "/consent/1?work=5", id, 3000, std::string(bytes, 'x')));
    const auto end = peer.read(answer, read_limit);
    return sent && end == read_end::complete ? answer.status() : 0;
}

} // namespace

int run_kept_limits_case(deployment& all, bool trouble)
{
    all.add_machine("west-a", "west");
    all.add_upstreams("checkdesk", "west-a", 2);
    const nlohmann::json routes = {{"r-consent", route("/consent/", "unsafe", 3, 2)}};
    if (!all.start(routes)) {
        return could_not_run;
    }
    all.configure(8, routes, trouble ? old_limit : new_limit);
    std::this_thread::sleep_for(applied);
    const auto& to = all.machines().front();
    const auto kept = connection::open(to.front(), milliseconds(1000));
    if (!kept || ask(*kept, "kept-1", 10) != 200) {
        return could_not_run;
    }
    all.configure(12, routes, new_limit);
    std::this_thread::sleep_for(applied);
    const int on_kept = ask(*kept, "kept-2", body_bytes);
    const auto fresh = connection::open(to.front(), milliseconds(1000));
    const int on_new = fresh ? ask(*fresh, "new-1", body_bytes) : 0;
    all.out().line("2 MiB, 5 s after 16 MiB were allowed: " + std::to_string(on_kept) +
                   " on a kept connection, " + std::to_string(on_new) + " on a new one");
    return on_kept == 413 ? rule_broken : rule_held;
}

} // namespace toucan::review
