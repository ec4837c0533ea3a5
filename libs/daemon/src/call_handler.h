#pragma once

#include "request_router.h"

#include "toucan/base/clock.h"
#include "toucan/base/metrics.h"
#include "toucan/operations/operation_coordinator.h"

#include <httplib.h>

#include <atomic>

namespace toucan::daemon {

/// Takes requests of callers and of other daemons to their outcome. Thread-safe.
class call_handler {
public:
    /// Test only: mechanisms that can be switched off, to show that a check detects their absence.
    struct switches {
        /// Run operations through their owner, witness and operation table.
        bool at_most_once = true;
        /// Say "not run" only when it is certain.
        bool true_refusals = true;
    };

    /// @param time clock of the deadlines.
    /// @param self own incarnation.
    /// @param router sends requests to backend servers.
    /// @param homes homes of this daemon.
    /// @param operations runs operations with keys.
    /// @param registry counters.
    /// @param on switches for tests.
    call_handler(const clock& time, vm_id self, request_router& router, home_table& homes,
                 operations::operation_coordinator& operations, metrics& registry, switches on);

    /// A request of a caller on `/v1/call/`.
    void handle(const httplib::Request& request, httplib::Response& response);
    /// A request that another daemon passed on.
    rpc::forward_reply handle_forward(const rpc::forward_request& request);
    /// Runs an operation for its owner; refuses it while the daemon is leaving. The coordinator
    /// records the refusal, so that the key never runs afterwards.
    outcome dispatch(const rpc::forward_request& request, steady_time deadline,
                     const operations::dispatch_guard& guard);
    /// From now on, new requests of callers are refused.
    void refuse_new() { refusing_ = true; }

private:
    outcome run(const rpc::forward_request& request, bool idempotent, steady_time deadline);
    outcome serve(const rpc::forward_request& request, steady_time deadline);
    void count(const outcome& result, steady_time started);

    const clock& clock_;
    vm_id self_;
    request_router& router_;
    home_table& homes_;
    operations::operation_coordinator& operations_;
    metrics& registry_;
    switches switches_;
    std::atomic<bool> refusing_ = false;
};

} // namespace toucan::daemon
