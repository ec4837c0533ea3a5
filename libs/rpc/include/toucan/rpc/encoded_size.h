#pragma once

#include "toucan/rpc/sync_reply.h"
#include "toucan/rpc/sync_request.h"

#include <cstddef>

namespace toucan::rpc {

/// Bytes of a message as encoded for the wire, without the framing of the call.
std::size_t encoded_size(const sync_request& value);
std::size_t encoded_size(const sync_reply& value);

} // namespace toucan::rpc
