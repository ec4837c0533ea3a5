#include "call_handler.h"

#include "call_parser.h"
#include "header_names.h"
#include "lookup_handler.h"
#include "outcome_writer.h"
#include "refusal_text.h"

#include "toucan/base/last_reason.h"
#include "toucan/operations/outcomes.h"

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <vector>

namespace toucan::daemon {

namespace {

constexpr int status_bad_request = 400;
/// Limit of hops between daemons. No path through entry VM, owner, witness and home is longer.
constexpr std::uint32_t max_hops = 6;
constexpr const char* leaving_reason = "this entry VM is leaving";
constexpr std::chrono::milliseconds starting_retry_after{500};
constexpr std::chrono::milliseconds draining_retry_after{1000};

} // namespace

call_handler::call_handler(const clock& time, vm_id self, request_router& router, home_table& homes,
                           operations::operation_coordinator& operations, metrics& registry,
                           switches enabled)
    : clock_(time), self_(self), router_(router), homes_(homes), operations_(operations),
      registry_(registry), switches_(enabled)
{
}

void call_handler::handle(const httplib::Request& request, httplib::Response& response)
{
    const auto started = clock_.now();
    const auto view = router_.view();
    if (!view) {
        // An operation with a key may already have run at another daemon or an earlier incarnation.
        const auto result = request.has_header(operation_key_header)
                                ? outcome(unknown{"no configuration in force yet"})
                                : not_run{"no configuration in force yet", starting_retry_after};
        write_outcome(result, {}, response);
        count(result, started);
        return;
    }
    const auto call = parse_call(request, *view->config);
    if (!call) {
        response.status = status_bad_request;
        response.set_content(last_reason() + "\n", "text/plain");
        ++registry_.count("toucan_bad_requests_total");
        return;
    }
    // An operation is always sent to its owner, because the owner knows whether it ran; see
    // `dispatch`.
    const auto result =
        refusing_new_calls_ && call->idempotent
            ? not_run{leaving_reason, draining_retry_after}
            : execute(call->forward, call->idempotent, started + call->forward.time_left);
    std::vector<rpc::entry_vm> alternatives;
    if (std::holds_alternative<not_run>(result)) {
        alternatives = alternative_entry_vms(*view, call->forward.client_block, self_.address);
    }
    write_outcome(result, alternatives, response);
    count(result, started);
}

outcome call_handler::dispatch(const rpc::forward_request& request, steady_time deadline,
                               const operations::dispatch_guard& guard)
{
    if (refusing_new_calls_) {
        return not_run{leaving_reason, draining_retry_after};
    }
    return router_.route(request, false, deadline, guard);
}

outcome call_handler::execute(const rpc::forward_request& request, bool idempotent,
                              steady_time deadline)
{
    auto local_request = request;
    local_request.entry_region = router_.view()->local_region;
    if (idempotent || !switches_.at_most_once) {
        return router_.route(local_request, idempotent, deadline, {});
    }
    auto result = operations_.execute(local_request, deadline);
    if (const auto* unresolved = std::get_if<unknown>(&result);
        unresolved && !switches_.true_refusals) {
        return not_run{unresolved->reason, draining_retry_after};
    }
    return result;
}

rpc::forward_reply call_handler::handle_forward(const rpc::forward_request& request)
{
    const auto deadline = clock_.now() + request.time_left;
    if (request.hops > max_hops) {
        return {not_run{"too many hops between daemons", {}}};
    }
    switch (request.mode) {
    case rpc::forward_mode::serve:
        return {serve(request, deadline)};
    case rpc::forward_mode::own:
        return {operations_.handle_own(request, deadline)};
    case rpc::forward_mode::resolve:
        return {operations_.handle_resolve(request, deadline)};
    }
    return {not_run{"forward mode is not known", {}}};
}

outcome call_handler::serve(const rpc::forward_request& request, steady_time deadline)
{
    const auto target_home = homes_.find(request.target);
    if (!target_home) {
        return not_run{std::string(refusal_text::not_home), {}};
    }
    auto result = target_home->serve(request, deadline, {});
    if (const auto* success = std::get_if<completed>(&result)) {
        router_.charge_response(request.entry_region, success->response.body.size());
    }
    return result;
}

void call_handler::count(const outcome& result, steady_time started)
{
    const auto name = fmt::format("toucan_calls_total{{outcome=\"{}\"}}",
                                  operations::outcome_header_value(result));
    ++registry_.count(name);
    registry_.summary("toucan_call_duration_ms").add(clock_.now() - started);
}

} // namespace toucan::daemon
