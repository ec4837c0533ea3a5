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

bool is_other_incarnation(const outcome& it)
{
    const auto* unresolved = std::get_if<unknown>(&it);
    return unresolved != nullptr && unresolved->reason == reasons::not_this_incarnation;
}

} // namespace

operation_coordinator::operation_coordinator(vm_id self, const clock& time, key_issuer& issuer,
                                             operation_table& operations, witness_table& intents,
                                             rpc::daemon_client& peers,
                                             platform::table_service* claims,
                                             dispatch_function dispatch,
                                             reachable_function reachable)
    : self_(self), clock_(time), issuer_(issuer), operations_(operations), intents_(intents),
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
    return make_not_run(reasons::malformed_key);
}

outcome operation_coordinator::execute_issued(const operation_key& key,
                                              const rpc::forward_request& request,
                                              steady_time deadline)
{
    const auto& [owner, witness, number] = key.prefix;
    if (owner == self_) {
        return execute_as_owner(key, request, deadline);
    }
    if (is_reachable(owner.address)) {
        const auto left = time_left(deadline);
        const auto reserve =
            witness ? std::min(config::resolve_time_reserve, left / 4) : milliseconds(0);
        const auto answer =
            forward_to(owner.address, rpc::forward_mode::own, key, request, left - reserve);
        // The outcome of the owner is authoritative: only the owner executes the key.
        if (answer && !is_other_incarnation(*answer)) {
            return *answer;
        }
    }
    if (!witness) {
        return make_unknown(reasons::owner_and_witness_unreachable);
    }
    if (*witness == self_) {
        return resolve(key, request, deadline, false);
    }
    if (witness->address == self_.address) {
        return make_unknown(reasons::owner_and_witness_unreachable);
    }
    const auto answer =
        forward_to(witness->address, rpc::forward_mode::resolve, key, request, time_left(deadline));
    return answer && !is_other_incarnation(*answer)
               ? *answer
               : make_unknown(reasons::owner_and_witness_unreachable);
}

std::optional<outcome> operation_coordinator::forward_to(vm_address peer, rpc::forward_mode mode,
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
        .debug("no reply for operation key {} from daemon {}: {}", it.operation_key,
               peer.to_string(), error.reason);
    return std::nullopt;
}

outcome operation_coordinator::handle_own(const rpc::forward_request& request, steady_time deadline)
{
    const auto key = operation_key::parse(request.operation_key);
    if (!key || key->prefix.owner != self_) {
        return make_unknown(reasons::not_this_incarnation);
    }
    return execute_as_owner(*key, request, deadline);
}

outcome operation_coordinator::execute_as_owner(const operation_key& key,
                                                const rpc::forward_request& request,
                                                steady_time deadline)
{
    const auto validity = [&] {
        return issuer_.check(key.prefix);
    };
    return std::visit(
        overloaded{
            [&](const operation_started& it) {
                return execute_started(it.token, request, deadline);
            },
            [&](const operation_in_progress&) {
                return operations_.wait(key, deadline)
                    .value_or(make_unknown(reasons::still_in_progress));
            },
            [](const operation_finished& it) { return it.result; },
            [](const operation_key_invalid& it) {
                return make_unknown(it.validity == key_validity::expired ? reasons::expired
                                                                         : reasons::not_issued);
            },
            [](const operation_table_full&) { return make_not_run(reasons::table_full); },
        },
        operations_.begin(key, validity));
}

outcome operation_coordinator::execute_started(const operation_token& token,
                                               const rpc::forward_request& request,
                                               steady_time deadline)
{
    const auto execution = [&]() -> outcome {
        if (auto refusal = record_intent_at_witness(token.key, deadline)) {
            return *std::move(refusal);
        }
        // Checked again after the call to the witness: a paused process may resume past the
        // deadline.
        const auto left = time_left(deadline);
        if (left.count() <= 0) {
            return make_not_run(reasons::deadline_passed);
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

std::optional<outcome> operation_coordinator::record_intent_at_witness(const operation_key& key,
                                                                       steady_time deadline)
{
    const auto& witness = key.prefix.witness;
    if (!witness) {
        return std::nullopt;
    }
    const auto timeout = std::min(config::intent_timeout, time_left(deadline));
    if (timeout.count() <= 0) {
        return make_not_run(reasons::deadline_passed);
    }
    const auto reply =
        peers_.record_intent(witness->address, {self_, *witness, key.to_string()}, timeout);
    const auto* answer = std::get_if<rpc::intent_reply>(&reply);
    if (answer == nullptr) {
        // The intent may have been recorded. The witness then answers `unknown` for a key that did
        // not run, which is allowed.
        return make_not_run(reasons::witness_unreachable);
    }
    if (answer->verdict == rpc::intent_verdict::accepted) {
        return std::nullopt;
    }
    issuer_.exclude_witness(*witness);
    log(log_part::ops)
        .info("witness {} refused an intent with verdict {}; excluding it from new keys",
              witness->address.to_string(),
              answer->verdict == rpc::intent_verdict::sealed ? "sealed" : "not the witness");
    return make_not_run(answer->verdict == rpc::intent_verdict::sealed
                            ? reasons::owner_sealed
                            : reasons::witness_unreachable);
}

outcome operation_coordinator::handle_resolve(const rpc::forward_request& request,
                                              steady_time deadline)
{
    const auto key = operation_key::parse(request.operation_key);
    if (!key || key->prefix.witness != self_) {
        return make_unknown(reasons::not_this_incarnation);
    }
    return resolve(*key, request, deadline, true);
}

outcome operation_coordinator::resolve(const operation_key& key,
                                       const rpc::forward_request& request, steady_time deadline,
                                       bool try_owner)
{
    const auto& owner = key.prefix.owner;
    if (try_owner && is_reachable(owner.address)) {
        const auto answer = forward_to(owner.address, rpc::forward_mode::own, key, request,
                                       time_left(deadline) / 2);
        if (answer && !is_other_incarnation(*answer)) {
            return *answer;
        }
    }
    if (!intents_.is_sealed(owner)) {
        log(log_part::ops)
            .info("owner {} incarnation {} does not answer for its keys; sealing it",
                  owner.address.to_string(), owner.run.to_string());
    }
    switch (intents_.seal(key)) {
    case seal_verdict::never_dispatched:
        return make_not_run(reasons::never_dispatched);
    case seal_verdict::intent_recorded:
        return make_unknown(reasons::possibly_dispatched);
    case seal_verdict::not_known:
        return make_unknown(reasons::expired);
    case seal_verdict::not_the_witness:
        break;
    }
    return make_unknown(reasons::not_this_incarnation);
}

rpc::intent_reply operation_coordinator::handle_intent(const rpc::intent_request& request)
{
    const auto key = operation_key::parse(request.operation_key);
    if (!key || key->prefix.owner != request.owner || request.witness != self_) {
        return {rpc::intent_verdict::not_the_witness};
    }
    return {intents_.record_intent(*key)};
}

outcome operation_coordinator::execute_claimed(const caller_key& key,
                                               const rpc::forward_request& request,
                                               steady_time deadline)
{
    const wall_time stamp{milliseconds(key.unix_ms)};
    const auto now = clock_.wall_now();
    if (now - stamp > config::max_caller_key_age) {
        return make_unknown(reasons::expired);
    }
    // Must not be `not_run`, because the same key would be accepted later.
    if (stamp - now > config::max_caller_clock_skew) {
        return make_unknown(reasons::timestamp_in_future);
    }
    if (claims_ == nullptr) {
        return make_not_run(reasons::claims_unavailable);
    }
    const auto row = fmt::format("claim/{}/{}", request.service.text(), key.to_string());
    const operation_key issued{issuer_.issue(), 0};
    const auto value = issued.to_string();
    for (int n = 0; n < config::max_claim_attempts && clock_.now() < deadline; ++n) {
        // Repeating the write with the same value is safe. If an earlier attempt was applied, the
        // conflict returns its row.
        const auto result = claims_->compare_and_set(row, 0, value);
        if (std::holds_alternative<platform::write_applied>(result)) {
            return execute_as_owner(issued, request, deadline);
        }
        if (std::holds_alternative<platform::write_refused>(result) && n == 0) {
            return make_not_run(reasons::claims_unavailable);
        }
        if (const auto* other = std::get_if<platform::write_conflict>(&result);
            other != nullptr && other->present) {
            const auto claimed = operation_key::parse(other->present->value);
            return claimed ? execute_issued(*claimed, request, deadline)
                           : make_unknown(reasons::malformed_claim);
        }
    }
    return refuse_unconfirmed_claim(issued);
}

outcome operation_coordinator::refuse_unconfirmed_claim(const operation_key& issued)
{
    // The claim may still be applied later and name this key, so the key is refused before the
    // caller gets its answer. If another daemon has found the claim already, the key may have run
    // here, and its recorded outcome is returned.
    const not_run refusal{std::string(reasons::claims_unavailable), config::default_retry_after};
    return operations_.refuse(issued, refusal).value_or(make_unknown(reasons::still_in_progress));
}

} // namespace toucan::operations
