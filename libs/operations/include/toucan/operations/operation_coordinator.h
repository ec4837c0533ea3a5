#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/outcome.h"
#include "toucan/base/vm_id.h"
#include "toucan/operations/caller_key.h"
#include "toucan/operations/dispatch_guard.h"
#include "toucan/operations/key_issuer.h"
#include "toucan/operations/operation_table.h"
#include "toucan/operations/witness_table.h"
#include "toucan/platform/table_service.h"
#include "toucan/rpc/daemon_client.h"

#include <chrono>
#include <functional>
#include <optional>

namespace toucan::operations {

/// Runs operations with keys at most once, and answers truthfully about them. Thread-safe; no lock
/// is held during a remote call.
///
/// The owner named in a key executes it, after the witness named in the key has acknowledged the
/// intent. When the owner cannot be reached, the witness seals it and answers for it: a key with an
/// intent may have run (`unknown`), a key without one did not run and never will (`not_run`).
///
/// The witness does not execute such a key. The owner answers `not_run` when the witness is out of
/// reach; were the witness to execute a delayed or repeated request for the same key after that,
/// the refusal would have been false. As it is, every refusal stays true whatever fails later.
class operation_coordinator {
public:
    /// Runs a request on a backend server by way of its home daemon. Must not throw. It must ask
    /// the guard right before the first byte is written.
    using dispatch_function =
        std::function<outcome(const rpc::forward_request&, steady_time, dispatch_guard)>;
    /// Whether this daemon believes that it can reach another one. A wrong answer costs time or an
    /// `unknown`, never a false outcome.
    using reachable_function = std::function<bool(vm_address)>;

    /// @param self own incarnation.
    /// @param time own clocks.
    /// @param issuer issues the keys of this incarnation.
    /// @param operations operations owned by this incarnation.
    /// @param witnessed intents of other owners.
    /// @param peers calls other daemons.
    /// @param claims table service for caller-chosen keys; null if there is none.
    /// @param dispatch runs a request.
    /// @param reachable membership view; empty means that everybody is worth a try.
    operation_coordinator(vm_id self, const clock& time, key_issuer& issuer,
                          operation_table& operations, witness_table& witnessed,
                          rpc::daemon_client& peers, platform::table_service* claims,
                          dispatch_function dispatch, reachable_function reachable = {});

    /// A request of a caller, at any daemon. The key is in `operation_key` of the request.
    /// @param request what to run.
    /// @param deadline when the caller stops waiting.
    outcome execute(const rpc::forward_request& request, steady_time deadline);

    /// A forwarded request of mode `own`. The outcome is `unknown` with the reason
    /// `not_this_incarnation` if another incarnation owns the key.
    outcome handle_own(const rpc::forward_request& request, steady_time deadline);

    /// A forwarded request of mode `resolve`. The outcome is `unknown` with the reason
    /// `not_this_incarnation` if the key names another witness incarnation.
    outcome handle_resolve(const rpc::forward_request& request, steady_time deadline);

    /// An owner is about to dispatch a key.
    /// @param request owner, witness and key.
    rpc::intent_reply handle_intent(const rpc::intent_request& request);

private:
    outcome execute_issued(const operation_key& key, const rpc::forward_request& request,
                           steady_time deadline);
    outcome execute_claimed(const caller_key& key, const rpc::forward_request& request,
                            steady_time deadline);
    outcome claim_unknown(const operation_key& issued);
    outcome own(const operation_key& key, const rpc::forward_request& request,
                steady_time deadline);
    outcome run(const operation_token& token, const rpc::forward_request& request,
                steady_time deadline);
    std::optional<outcome> missing_intent(const operation_key& key, steady_time deadline);
    std::optional<outcome> ask(vm_address peer, rpc::forward_mode mode, const operation_key& key,
                               const rpc::forward_request& request,
                               std::chrono::milliseconds timeout);
    outcome resolve(const operation_key& key, const rpc::forward_request& request,
                    steady_time deadline, bool try_owner);
    [[nodiscard]] std::chrono::milliseconds time_left(steady_time deadline) const;
    [[nodiscard]] bool is_reachable(vm_address peer) const;

    vm_id self_;
    const clock& clock_;
    key_issuer& issuer_;
    operation_table& operations_;
    witness_table& witnessed_;
    rpc::daemon_client& peers_;
    platform::table_service* claims_;
    dispatch_function dispatch_;
    reachable_function reachable_;
};

} // namespace toucan::operations
