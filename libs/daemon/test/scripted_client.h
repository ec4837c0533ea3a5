#pragma once

#include "toucan/rpc/daemon_client.h"

#include <functional>

namespace toucan::daemon {

/// Client whose replies are set by the test as hooks. A call without a hook fails with `no_reply`.
class scripted_client final : public rpc::daemon_client {
public:
    std::function<rpc::rpc_result<rpc::sync_reply>()> on_sync;
    std::function<rpc::rpc_result<rpc::forward_reply>()> on_forward;

    rpc::rpc_result<rpc::sync_reply> sync(vm_address /*peer*/, const rpc::sync_request& /*request*/,
                                          duration /*timeout*/) override
    {
        return on_sync ? on_sync() : failure();
    }
    rpc::rpc_result<rpc::forward_reply> forward(vm_address /*peer*/,
                                                const rpc::forward_request& /*request*/,
                                                duration /*timeout*/) override
    {
        return on_forward ? on_forward() : failure();
    }
    rpc::rpc_result<rpc::fetch_reply>
    fetch(vm_address /*peer*/, const rpc::fetch_request& /*request*/, duration /*timeout*/) override
    {
        return failure();
    }
    rpc::rpc_result<rpc::intent_reply> record_intent(vm_address /*peer*/,
                                                     const rpc::intent_request& /*request*/,
                                                     duration /*timeout*/) override
    {
        return failure();
    }
    rpc::rpc_result<rpc::credit_reply> request_credit(vm_address /*peer*/,
                                                      const rpc::credit_request& /*request*/,
                                                      duration /*timeout*/) override
    {
        return failure();
    }

    static rpc::rpc_error failure() { return {rpc::rpc_failure::no_reply, "timeout"}; }
};

} // namespace toucan::daemon
