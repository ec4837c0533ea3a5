#pragma once

#include "toucan/rpc/daemon_client.h"
#include "toucan/rpc/rpc_client_options.h"

#include <cstddef>
#include <memory>

namespace toucan::rpc {

/// Calls other daemons over one TCP connection per peer. A connection on which a reply is overdue
/// is closed, and the other calls in flight on it end with `no_reply`. A call ends with `not_sent`
/// only if it was never handed to a connected socket.
class rpc_client final : public daemon_client {
public:
    explicit rpc_client(rpc_client_options options = {});
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;
    /// All calls must have returned.
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

    /// Connections that are open at present.
    [[nodiscard]] std::size_t open_connections() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace toucan::rpc
