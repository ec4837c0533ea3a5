#pragma once

#include "toucan/rpc/daemon_client.h"

namespace toucan::operations {

/// Base of the test clients. Fails the calls that the coordinator never makes.
class fake_client : public rpc::daemon_client {
public:
    rpc::rpc_result<rpc::sync_reply> sync(vm_address, const rpc::sync_request&, duration) override
    {
        return rpc::rpc_error{};
    }
    rpc::rpc_result<rpc::fetch_reply> fetch(vm_address, const rpc::fetch_request&,
                                            duration) override
    {
        return rpc::rpc_error{};
    }
    rpc::rpc_result<rpc::credit_reply> request_credit(vm_address, const rpc::credit_request&,
                                                      duration) override
    {
        return rpc::rpc_error{};
    }
};

} // namespace toucan::operations
