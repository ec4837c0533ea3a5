#pragma once

#include <cstdint>

namespace toucan::rpc {

/// What the receiver of a forwarded request is to do with it.
enum class forward_mode : std::uint8_t {
    /// Act as the home daemon of the target backend server.
    serve,
    /// Act as the owner of the operation key.
    own,
    /// Act as the witness of an owner that the sender cannot reach.
    resolve,
};

} // namespace toucan::rpc
