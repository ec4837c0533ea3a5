#pragma once

#include "toucan/base/config.h"

#include <capnp/message.h>

#include <cstddef>

namespace toucan::rpc {

/// Largest message that is sent: a full request body and ample room for headers.
inline constexpr std::size_t max_message_bytes = config::max_request_body_bytes + (1U << 20U);

/// A larger message is not read, and its connection is closed. Twice the limit of the sender,
/// because the limit also counts fields that are read twice.
inline capnp::ReaderOptions reader_options()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 2 * max_message_bytes / sizeof(capnp::word);
    return options;
}

} // namespace toucan::rpc
