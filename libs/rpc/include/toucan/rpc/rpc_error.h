#pragma once

#include <string>

namespace toucan::rpc {

/// Whether a failed call can have had an effect at the receiver.
enum class rpc_failure {
    /// The connection could not be made; the receiver has not seen the call.
    not_sent,
    /// The call may have been received; there was no reply in time.
    no_reply,
};

struct rpc_error {
    rpc_failure kind = rpc_failure::no_reply;
    std::string reason;

    friend bool operator==(const rpc_error&, const rpc_error&) = default;
};

} // namespace toucan::rpc
