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

/// Sends a request to a backend server by way of its home, and tries again where that is safe.
/// Thread-safe; no lock is held while a request is on its way.
class request_router {
public:
    struct environment {
        const clock* time = nullptr;
        std::chrono::nanoseconds epoch_offset{0};
        vm_id self;
        bool enforce_shift = true;
    };

    /// @param env clock and switches.
    /// @param homes homes of this daemon.
    /// @param peers calls other daemons.
    request_router(environment env, home_table& homes, rpc::daemon_client& peers);

    /// Takes over a new snapshot.
    void update(std::shared_ptr<const routing_view> view);

    /// @param request what the caller asked for.
    /// @param idempotent true if it may be repeated after a byte was sent.
    /// @param deadline when the caller stops waiting.
    /// @param guard asked right before the first byte is written to a backend server.
    outcome route(const rpc::forward_request& request, bool idempotent, steady_time deadline,
                  const operations::dispatch_guard& guard);

    /// Counts a response to another region against the link.
    void count_response(const region_name& region, std::size_t bytes)
    {
        links_.spend(region, bytes);
    }

    /// Asks other failure domains for credit where it is needed. Blocks for the calls.
    void renew_credit();

    [[nodiscard]] std::shared_ptr<const routing_view> view() const;
    [[nodiscard]] nlohmann::json state() const;

private:
    std::shared_ptr<service_router> find(const service_name& service) const;
    outcome attempt(service_router& router, const policy::route_decision& decision,
                    rpc::forward_request request, steady_time deadline,
                    const operations::dispatch_guard& guard);
    outcome serve_at(vm_address home, const rpc::forward_request& request, steady_time deadline,
                     const operations::dispatch_guard& guard);
    void ask_for_credit(const service_name& service, service_router& router);
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
