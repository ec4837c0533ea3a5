#pragma once

#include "toucan/rpc/sync_reply.h"
#include "toucan/rpc/sync_request.h"

#include <cstddef>

namespace toucan::rpc {

/// Size in bytes of a message as encoded for the wire, without the RPC framing.
std::size_t encoded_size(const sync_request& value);
std::size_t encoded_size(const sync_reply& value);

} // namespace toucan::rpc
