#pragma once

#include <string>

namespace toucan::rpc {

/// Whether a failed call may have had an effect at the receiver.
enum class rpc_failure {
    /// The call was not sent, so the receiver has not seen it. Causes: no connection, or a request
    /// above the size limit.
    not_sent,
    /// The call was sent and may have been executed; no valid reply arrived.
    no_reply,
};

/// Error of a failed call.
struct rpc_error {
    rpc_failure kind = rpc_failure::no_reply;
    std::string reason;

    friend bool operator==(const rpc_error&, const rpc_error&) = default;
};

} // namespace toucan::rpc
