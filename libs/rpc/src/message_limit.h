#pragma once

#include "toucan/base/config.h"

#include <capnp/message.h>

#include <cstddef>

namespace toucan::rpc {

/// Maximum size of a message to send: the largest request body plus 1 MiB for headers and framing.
inline constexpr std::size_t max_message_bytes = config::max_request_body_bytes + (1U << 20U);

/// Limit for received messages. A larger message is not read, and its connection is closed. The
/// limit is twice that of the sender, because Cap'n Proto counts a field each time it is read.
inline capnp::ReaderOptions reader_options()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 2 * max_message_bytes / sizeof(capnp::word);
    return options;
}

} // namespace toucan::rpc
