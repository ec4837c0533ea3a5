#pragma once

#include "toucan/base/vm_address.h"
#include "toucan/rpc/credit_reply.h"
#include "toucan/rpc/credit_request.h"
#include "toucan/rpc/fetch_reply.h"
#include "toucan/rpc/fetch_request.h"
#include "toucan/rpc/forward_reply.h"
#include "toucan/rpc/forward_request.h"
#include "toucan/rpc/intent_reply.h"
#include "toucan/rpc/intent_request.h"
#include "toucan/rpc/rpc_error.h"
#include "toucan/rpc/sync_reply.h"
#include "toucan/rpc/sync_request.h"

#include <chrono>
#include <variant>

namespace toucan::rpc {

/// Reply of a call, or the error if it failed.
template <typename Reply>
using rpc_result = std::variant<Reply, rpc_error>;

/// Interface for calls to other daemons. A call blocks for at most its timeout and returns the
/// reply or an `rpc_error`. Thread-safe.
class daemon_client {
public:
    virtual ~daemon_client() = default;

    using duration = std::chrono::milliseconds;

    /// Forwards the request of a caller and returns its outcome.
    virtual rpc_result<forward_reply> forward(vm_address peer, const forward_request& request,
                                              duration timeout) = 0;
    /// Sends a heartbeat and exchanges changed member records and domain summaries.
    virtual rpc_result<sync_reply> sync(vm_address peer, const sync_request& request,
                                        duration timeout) = 0;
    /// Fetches the head row and objects of a configuration.
    virtual rpc_result<fetch_reply> fetch(vm_address peer, const fetch_request& request,
                                          duration timeout) = 0;
    /// Records the intent to dispatch an operation at its witness.
    virtual rpc_result<intent_reply> record_intent(vm_address peer, const intent_request& request,
                                                   duration timeout) = 0;
    /// Requests credit from a daemon of another failure domain.
    virtual rpc_result<credit_reply> request_credit(vm_address peer, const credit_request& request,
                                                    duration timeout) = 0;
};

} // namespace toucan::rpc
