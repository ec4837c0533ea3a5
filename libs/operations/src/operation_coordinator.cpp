#include "toucan/operations/operation_coordinator.h"

#include "toucan/base/log.h"
#include "toucan/operations/config.h"
#include "toucan/operations/outcomes.h"
#include "toucan/operations/reasons.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace toucan::operations {

namespace {

template <typename... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};
template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

bool is_elsewhere(const outcome& it)
{
    const auto* open = std::get_if<unknown>(&it);
    return open != nullptr && open->reason == reasons::not_this_incarnation;
}

} // namespace

operation_coordinator::operation_coordinator(vm_id self, const clock& time, key_issuer& issuer,
                                             operation_table& operations, witness_table& witnessed,
                                             rpc::daemon_client& peers,
                                             platform::table_service* claims,
                                             dispatch_function dispatch,
                                             reachable_function reachable)
    : self_(self), clock_(time), issuer_(issuer), operations_(operations), witnessed_(witnessed),
      peers_(peers), claims_(claims), dispatch_(std::move(dispatch)),
      reachable_(std::move(reachable))
{
}

milliseconds operation_coordinator::time_left(steady_time deadline) const
{
    return std::chrono::floor<milliseconds>(deadline - clock_.now());
}

bool operation_coordinator::is_reachable(vm_address peer) const
{
    return peer != self_.address && (!reachable_ || reachable_(peer));
}

outcome operation_coordinator::execute(const rpc::forward_request& request, steady_time deadline)
{
    if (const auto key = operation_key::parse(request.operation_key)) {
        return execute_issued(*key, request, deadline);
    }
    if (const auto key = caller_key::parse(request.operation_key)) {
        return execute_claimed(*key, request, deadline);
    }
    return refuse(reasons::bad_key);
}

outcome operation_coordinator::execute_issued(const operation_key& key,
                                              const rpc::forward_request& request,
                                              steady_time deadline)
{
    const auto& [owner, witness, number] = key.prefix;
    if (owner == self_) {
        return own(key, request, deadline);
    }
    if (is_reachable(owner.address)) {
        const auto left = time_left(deadline);
        const auto reserve =
            witness ? std::min(config::resolve_reserve, left / 4) : milliseconds(0);
        const auto answer =
            ask(owner.address, rpc::forward_mode::own, key, request, left - reserve);
        // Whatever the owner answers is final for this request: only it knows, or it is recorded.
        if (answer && !is_elsewhere(*answer)) {
            return *answer;
        }
    }
    if (!witness) {
        return not_known(reasons::all_gone);
    }
    if (*witness == self_) {
        return resolve(key, request, deadline, false);
    }
    if (witness->address == self_.address) {
        return not_known(reasons::all_gone);
    }
    const auto answer =
        ask(witness->address, rpc::forward_mode::resolve, key, request, time_left(deadline));
    return answer && !is_elsewhere(*answer) ? *answer : not_known(reasons::all_gone);
}

std::optional<outcome> operation_coordinator::ask(vm_address peer, rpc::forward_mode mode,
                                                  const operation_key& key,
                                                  const rpc::forward_request& request,
                                                  milliseconds timeout)
{
    if (timeout.count() <= 0) {
        return std::nullopt;
    }
    auto it = request;
    it.mode = mode;
    it.operation_key = key.to_string();
    it.time_left = timeout - std::min(config::reply_margin, timeout / 4);
    ++it.hops;
    auto reply = peers_.forward(peer, it, timeout);
    if (auto* answer = std::get_if<rpc::forward_reply>(&reply)) {
        return std::move(answer->result);
    }
    const auto& error = std::get<rpc::rpc_error>(reply);
    log(log_part::ops)
        .debug("no answer about key {} from {}: {}", it.operation_key, peer.to_string(),
               error.reason);
    return std::nullopt;
}

outcome operation_coordinator::handle_own(const rpc::forward_request& request, steady_time deadline)
{
    const auto key = operation_key::parse(request.operation_key);
    if (!key || key->prefix.owner != self_) {
        return not_known(reasons::not_this_incarnation);
    }
    return own(*key, request, deadline);
}

outcome operation_coordinator::own(const operation_key& key, const rpc::forward_request& request,
                                   steady_time deadline)
{
    const auto validity = [&] {
        return issuer_.check(key.prefix);
    };
    return std::visit(
        overloaded{
            [&](const operation_started& it) { return run(it.token, request, deadline); },
            [&](const operation_in_progress&) {
                return operations_.wait(key, deadline).value_or(not_known(reasons::still_running));
            },
            [](const operation_finished& it) { return it.result; },
            [](const operation_expired& it) {
                return not_known(it.validity == key_validity::expired ? reasons::expired
                                                                      : reasons::not_issued);
            },
            [](const operation_table_full&) { return refuse(reasons::table_full); },
        },
        operations_.begin(key, validity));
}

outcome operation_coordinator::run(const operation_token& token,
                                   const rpc::forward_request& request, steady_time deadline)
{
    const auto execution = [&]() -> outcome {
        if (auto refusal = missing_intent(token.key, deadline)) {
            return *std::move(refusal);
        }
        // Checked again after the wait: a process that was paused may resume past the deadline.
        const auto left = time_left(deadline);
        if (left.count() <= 0) {
            return refuse(reasons::deadline);
        }
        auto it = request;
        it.operation_key = token.key.to_string();
        it.time_left = left;
        return dispatch_(it, deadline, dispatch_guard([this, token, deadline] {
                             return clock_.now() < deadline && operations_.is_running(token);
                         }));
    };
    auto result = execution();
    operations_.finish(token, result);
    return result;
}

std::optional<outcome> operation_coordinator::missing_intent(const operation_key& key,
                                                             steady_time deadline)
{
    const auto& witness = key.prefix.witness;
    if (!witness) {
        return std::nullopt;
    }
    const auto timeout = std::min(config::intent_timeout, time_left(deadline));
    if (timeout.count() <= 0) {
        return refuse(reasons::deadline);
    }
    const auto reply =
        peers_.record_intent(witness->address, {self_, *witness, key.to_string()}, timeout);
    const auto* answer = std::get_if<rpc::intent_reply>(&reply);
    if (answer == nullptr) {
        // The intent may have arrived. It only makes the witness more careful: it says `unknown`.
        return refuse(reasons::no_witness_answer);
    }
    if (answer->verdict == rpc::intent_verdict::accepted) {
        return std::nullopt;
    }
    issuer_.exclude_witness(*witness);
    log(log_part::ops)
        .info("witness {} refuses intents, its verdict is {}", witness->address.to_string(),
              answer->verdict == rpc::intent_verdict::sealed ? "sealed" : "not the witness");
    return refuse(answer->verdict == rpc::intent_verdict::sealed ? reasons::sealed
                                                                 : reasons::no_witness_answer);
}

outcome operation_coordinator::handle_resolve(const rpc::forward_request& request,
                                              steady_time deadline)
{
    const auto key = operation_key::parse(request.operation_key);
    if (!key || key->prefix.witness != self_) {
        return not_known(reasons::not_this_incarnation);
    }
    return resolve(*key, request, deadline, true);
}

outcome operation_coordinator::resolve(const operation_key& key,
                                       const rpc::forward_request& request, steady_time deadline,
                                       bool try_owner)
{
    const auto& owner = key.prefix.owner;
    if (try_owner && is_reachable(owner.address)) {
        const auto answer =
            ask(owner.address, rpc::forward_mode::own, key, request, time_left(deadline) / 2);
        if (answer && !is_elsewhere(*answer)) {
            return *answer;
        }
    }
    if (!witnessed_.is_sealed(owner)) {
        log(log_part::ops)
            .info("sealing owner {} {}", owner.address.to_string(), owner.run.to_string());
    }
    switch (witnessed_.seal(key)) {
    case seal_verdict::never_dispatched:
        return refuse(reasons::never_dispatched);
    case seal_verdict::intent_recorded:
        return not_known(reasons::maybe_dispatched);
    case seal_verdict::not_known:
        return not_known(reasons::expired);
    case seal_verdict::not_the_witness:
        break;
    }
    return not_known(reasons::not_this_incarnation);
}

rpc::intent_reply operation_coordinator::handle_intent(const rpc::intent_request& request)
{
    const auto key = operation_key::parse(request.operation_key);
    if (!key || key->prefix.owner != request.owner || request.witness != self_) {
        return {rpc::intent_verdict::not_the_witness};
    }
    return {witnessed_.record_intent(*key)};
}

outcome operation_coordinator::execute_claimed(const caller_key& key,
                                               const rpc::forward_request& request,
                                               steady_time deadline)
{
    const wall_time stamp{milliseconds(key.unix_ms)};
    const auto now = clock_.wall_now();
    if (now - stamp > config::caller_key_age) {
        return not_known(reasons::expired);
    }
    // Not `not_run`, because the same key would be accepted later.
    if (stamp - now > config::caller_key_skew) {
        return not_known(reasons::from_the_future);
    }
    if (claims_ == nullptr) {
        return refuse(reasons::claims_unavailable);
    }
    const auto row = fmt::format("claim/{}/{}", request.service.text(), key.to_string());
    const operation_key issued{issuer_.issue(), 0};
    const auto value = issued.to_string();
    for (int n = 0; n < config::claim_attempts && clock_.now() < deadline; ++n) {
        // Repeating the write with the same value is safe, and its conflict reads the row back.
        const auto result = claims_->compare_and_set(row, 0, value);
        if (std::holds_alternative<platform::write_applied>(result)) {
            return own(issued, request, deadline);
        }
        if (std::holds_alternative<platform::write_refused>(result) && n == 0) {
            return refuse(reasons::claims_unavailable);
        }
        if (const auto* other = std::get_if<platform::write_conflict>(&result);
            other != nullptr && other->present) {
            const auto claimed = operation_key::parse(other->present->value);
            return claimed ? execute_issued(*claimed, request, deadline)
                           : not_known(reasons::damaged_claim);
        }
    }
    return claim_unknown(issued);
}

outcome operation_coordinator::claim_unknown(const operation_key& issued)
{
    // The claim may appear later and name this key, so the key is refused before the caller is.
    // Another daemon may have found the claim already and had it executed here.
    const not_run refusal{std::string(reasons::claims_unavailable), config::retry_after};
    return operations_.refuse(issued, refusal).value_or(not_known(reasons::still_running));
}

} // namespace toucan::operations
