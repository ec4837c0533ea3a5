#pragma once

#include <cstdint>

namespace toucan::rpc {

/// Role in which the receiver handles a forwarded request.
enum class forward_mode : std::uint8_t {
    /// Home daemon of the target backend server.
    serve,
    /// Owner of the operation key: the daemon that executes the operation.
    own,
    /// Witness of the operation key; the sender cannot reach the owner.
    resolve,
};

} // namespace toucan::rpc
