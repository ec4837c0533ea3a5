#pragma once

#include "toucan/rpc/daemon_client.h"

#include <map>

namespace toucan::daemon {

/// Test only: redirects calls for some addresses to others, so that tests can place a proxy between
/// daemons.
class redirecting_client final : public rpc::daemon_client {
public:
    /// @param next client that makes the calls; outlives this object.
    /// @param overrides address to call instead, by original address.
    redirecting_client(rpc::daemon_client& next, std::map<vm_address, vm_address> overrides);

    rpc::rpc_result<rpc::forward_reply>
    forward(vm_address peer, const rpc::forward_request& request, duration timeout) override;
    rpc::rpc_result<rpc::sync_reply> sync(vm_address peer, const rpc::sync_request& request,
                                          duration timeout) override;
    rpc::rpc_result<rpc::fetch_reply> fetch(vm_address peer, const rpc::fetch_request& request,
                                            duration timeout) override;
    rpc::rpc_result<rpc::intent_reply>
    record_intent(vm_address peer, const rpc::intent_request& request, duration timeout) override;
    rpc::rpc_result<rpc::credit_reply>
    request_credit(vm_address peer, const rpc::credit_request& request, duration timeout) override;

private:
    [[nodiscard]] vm_address target(vm_address peer) const;

    rpc::daemon_client& next_;
    std::map<vm_address, vm_address> overrides_;
};

} // namespace toucan::daemon
