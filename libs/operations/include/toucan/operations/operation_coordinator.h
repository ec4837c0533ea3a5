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

/// Executes operations with keys at most once and reports their outcome. Thread-safe; no lock is
/// held during a remote call.
///
/// A key names an owner incarnation and usually a witness incarnation. The owner executes the key
/// after the witness has recorded its intent, which is the notice that the owner is about to
/// dispatch the key. If the owner cannot be reached, the witness seals it: from then on it refuses
/// all intents of that owner incarnation. The witness then answers `unknown` for a key with an
/// intent, which may have run, and `not_run` for a key without one, which did not run and cannot
/// run later.
///
/// The witness never executes a key of another owner. The owner answers `not_run` when it cannot
/// reach the witness. This answer would become false if the witness executed a delayed or repeated
/// request for the same key. With execution at the owner only, `not_run` holds whatever fails
/// later.
///
/// A caller-chosen key is mapped to an issued key by a claim, a row of the table service. All
/// daemons that find the claim use the same issued key, so the caller-chosen key runs at most once.
class operation_coordinator {
public:
    /// Sends a request to a backend server through its home daemon. Must not throw, and must check
    /// the guard as `dispatch_guard` describes.
    using dispatch_function =
        std::function<outcome(const rpc::forward_request&, steady_time, dispatch_guard)>;
    /// Whether this daemon considers another one reachable. A wrong result costs time or leads to
    /// `unknown`, never to a false outcome.
    using reachable_function = std::function<bool(vm_address)>;

    /// All references and `claims` must outlive the coordinator.
    /// @param self incarnation of the local daemon.
    /// @param time clocks of the local daemon.
    /// @param issuer issues the key prefixes of this incarnation.
    /// @param operations operations owned by this incarnation.
    /// @param intents intents of other owners that name this incarnation as witness.
    /// @param peers client for other daemons.
    /// @param claims table service that maps caller-chosen keys to issued keys; null if there is
    /// none.
    /// @param dispatch sends a request to a backend server.
    /// @param reachable membership view; if empty, every daemon counts as reachable.
    operation_coordinator(vm_id self, const clock& time, key_issuer& issuer,
                          operation_table& operations, witness_table& intents,
                          rpc::daemon_client& peers, platform::table_service* claims,
                          dispatch_function dispatch, reachable_function reachable = {});

    /// Executes a request of a caller at the entry VM, which may be any daemon.
    /// @param request request with its key in `operation_key`.
    /// @param deadline time until which the caller waits.
    outcome execute(const rpc::forward_request& request, steady_time deadline);

    /// Handles a forwarded request of mode `own`. The outcome is `unknown` with the reason
    /// `not_this_incarnation` if another incarnation owns the key.
    outcome handle_own(const rpc::forward_request& request, steady_time deadline);

    /// Handles a forwarded request of mode `resolve`. The outcome is `unknown` with the reason
    /// `not_this_incarnation` if the key names another witness incarnation.
    outcome handle_resolve(const rpc::forward_request& request, steady_time deadline);

    /// Records the intent of an owner that is about to dispatch a key. The verdict is
    /// `not_the_witness` if the key is malformed or does not name the owner and this witness.
    rpc::intent_reply handle_intent(const rpc::intent_request& request);

private:
    outcome execute_issued(const operation_key& key, const rpc::forward_request& request,
                           steady_time deadline);
    outcome execute_claimed(const caller_key& key, const rpc::forward_request& request,
                            steady_time deadline);
    /// Answers after a claim whose write was not confirmed: refuses the issued key, so that a
    /// daemon that finds the claim later does not execute it.
    outcome refuse_unconfirmed_claim(const operation_key& issued);
    /// Executes a key of this incarnation, or returns the outcome of an earlier execution.
    outcome execute_as_owner(const operation_key& key, const rpc::forward_request& request,
                             steady_time deadline);
    outcome execute_started(const operation_token& token, const rpc::forward_request& request,
                            steady_time deadline);
    /// Has the witness record the intent.
    /// @return nothing if the key may be dispatched, otherwise the refusal.
    std::optional<outcome> record_intent_at_witness(const operation_key& key, steady_time deadline);
    /// Forwards a request to a daemon.
    /// @return the outcome; nothing if no reply arrived.
    std::optional<outcome> forward_to(vm_address peer, rpc::forward_mode mode,
                                      const operation_key& key, const rpc::forward_request& request,
                                      std::chrono::milliseconds timeout);
    /// Answers as the witness of the key. Seals the owner if it cannot be reached or has restarted.
    /// @param try_owner whether to ask the owner once more.
    outcome resolve(const operation_key& key, const rpc::forward_request& request,
                    steady_time deadline, bool try_owner);
    [[nodiscard]] std::chrono::milliseconds time_left(steady_time deadline) const;
    [[nodiscard]] bool is_reachable(vm_address peer) const;

    vm_id self_;
    const clock& clock_;
    key_issuer& issuer_;
    operation_table& operations_;
    witness_table& intents_;
    rpc::daemon_client& peers_;
    platform::table_service* claims_;
    dispatch_function dispatch_;
    reachable_function reachable_;
};

} // namespace toucan::operations
