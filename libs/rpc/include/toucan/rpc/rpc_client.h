#pragma once

#include "toucan/rpc/daemon_client.h"
#include "toucan/rpc/rpc_client_options.h"

#include <cstddef>
#include <memory>

namespace toucan::rpc {

/// Cap'n Proto client that uses one TCP connection per peer. If a call times out, its connection is
/// closed, and all other calls in flight on it fail with `no_reply`. A call fails with `not_sent`
/// only if it was never passed to a connected socket.
class rpc_client final : public daemon_client {
public:
    explicit rpc_client(const rpc_client_options& options = {});
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;
    /// Closes all connections. No call may be in progress.
    ~rpc_client() override;

    rpc_result<forward_reply> forward(vm_address peer, const forward_request& request,
                                      duration timeout) override;
    rpc_result<sync_reply> sync(vm_address peer, const sync_request& request,
                                duration timeout) override;
    rpc_result<fetch_reply> fetch(vm_address peer, const fetch_request& request,
                                  duration timeout) override;
    rpc_result<intent_reply> record_intent(vm_address peer, const intent_request& request,
                                           duration timeout) override;
    rpc_result<credit_reply> request_credit(vm_address peer, const credit_request& request,
                                            duration timeout) override;

    /// Number of established connections.
    [[nodiscard]] std::size_t open_connections() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace toucan::rpc
