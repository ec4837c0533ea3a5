#pragma once

#include "request_router.h"

#include "toucan/base/clock.h"
#include "toucan/base/metrics.h"
#include "toucan/operations/operation_coordinator.h"

#include <httplib.h>

#include <atomic>

namespace toucan::daemon {

/// Handles calls of callers and requests forwarded by other daemons. Thread-safe.
class call_handler {
public:
    /// Test only: mechanisms that can be switched off to verify that a check detects their absence.
    struct switches {
        /// Run operations through their owner, witness and operation table.
        bool at_most_once = true;
        /// Answer "not run" only if the request certainly did not run.
        bool true_refusals = true;
    };

    /// @param time clock of the deadlines.
    /// @param self address and incarnation of this daemon.
    /// @param router sends requests to backend servers.
    /// @param homes homes of this daemon.
    /// @param operations runs non-idempotent operations, which carry a key.
    /// @param registry metrics of calls.
    /// @param enabled mechanisms that are switched on.
    call_handler(const clock& time, vm_id self, request_router& router, home_table& homes,
                 operations::operation_coordinator& operations, metrics& registry,
                 switches enabled);

    /// Handles a caller's request to `/v1/call/<service>/<path>`.
    void handle(const httplib::Request& request, httplib::Response& response);
    /// Handles a request forwarded by another daemon, according to its mode.
    rpc::forward_reply handle_forward(const rpc::forward_request& request);
    /// Dispatches an operation that this daemon owns, or refuses it while the daemon is leaving.
    /// The coordinator records the refusal, so that the key never runs afterwards.
    outcome dispatch(const rpc::forward_request& request, steady_time deadline,
                     const operations::dispatch_guard& guard);
    /// Refuses new calls from now on.
    void refuse_new_calls() { refusing_new_calls_ = true; }

private:
    outcome execute(const rpc::forward_request& request, bool idempotent, steady_time deadline);
    outcome serve(const rpc::forward_request& request, steady_time deadline);
    void count(const outcome& result, steady_time started);

    const clock& clock_;
    vm_id self_;
    request_router& router_;
    home_table& homes_;
    operations::operation_coordinator& operations_;
    metrics& registry_;
    switches switches_;
    std::atomic<bool> refusing_new_calls_ = false;
};

} // namespace toucan::daemon
