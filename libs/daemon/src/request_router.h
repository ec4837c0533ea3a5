#pragma once

#include "home_table.h"
#include "link_table.h"
#include "routing_view.h"
#include "service_router.h"

#include "toucan/base/clock.h"
#include "toucan/base/outcome.h"
#include "toucan/base/vm_id.h"
#include "toucan/operations/dispatch_guard.h"
#include "toucan/rpc/daemon_client.h"
#include "toucan/rpc/forward_request.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <vector>

namespace toucan::daemon {

/// Sends requests to backend servers through their homes and retries where that is safe.
/// Thread-safe; no lock is held during a remote call.
class request_router {
public:
    /// Dependencies, identity of this daemon and switches.
    struct environment {
        const clock* time = nullptr;
        /// Added to steady time to get the time base of shift intervals, which all daemons share.
        std::chrono::nanoseconds epoch_offset{0};
        vm_id self;
        /// Test only: if false, shift allowance is not checked.
        bool enforce_shift = true;
    };

    /// @param env clock, identity of this daemon and switches.
    /// @param homes homes of this daemon.
    /// @param peers client for calls to other daemons.
    request_router(environment env, home_table& homes, rpc::daemon_client& peers);

    /// Applies a new routing snapshot, and creates or removes the routers of services accordingly.
    void update(std::shared_ptr<const routing_view> view);

    /// Routes one request. Blocks until its outcome is known or the deadline has passed.
    /// @param request request as received from the caller.
    /// @param idempotent true if the request may be sent again after an attempt that may have run.
    /// @param deadline time at which the caller stops waiting.
    /// @param guard checked right before the first byte is written to a backend server, or before
    /// the request is sent to a home on another daemon.
    outcome route(const rpc::forward_request& request, bool idempotent, steady_time deadline,
                  const operations::dispatch_guard& guard);

    /// Charges a response to the budget of the link to another region.
    void charge_response(const region_name& region, std::size_t bytes)
    {
        links_.spend(region, bytes);
    }

    /// Requests credit from other failure domains for the services that need it. Blocks during the
    /// calls.
    void renew_credit();

    /// @return current snapshot; null before the first update.
    [[nodiscard]] std::shared_ptr<const routing_view> view() const;
    /// Describes the routers for `/state`.
    [[nodiscard]] nlohmann::json state() const;

private:
    std::shared_ptr<service_router> find(const service_name& service) const;
    outcome attempt(service_router& router, const policy::route_decision& decision,
                    rpc::forward_request request, steady_time deadline,
                    const operations::dispatch_guard& guard);
    outcome serve_at(vm_address home, const rpc::forward_request& request, steady_time deadline,
                     const operations::dispatch_guard& guard);
    void request_credit_for(const service_name& service, service_router& router);
    [[nodiscard]] vm_address home_of(const service_name& service,
                                     const backend_server_name& backend) const;

    environment env_;
    home_table& homes_;
    rpc::daemon_client& peers_;
    link_table links_;
    mutable absl::Mutex mutex_;
    std::shared_ptr<const routing_view> view_;
    absl::flat_hash_map<service_name, std::shared_ptr<service_router>> routers_;
};

} // namespace toucan::daemon
