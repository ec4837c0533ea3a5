#include "toucan/rpc/encoded_size.h"

#include "sync_reply_message.h"
#include "sync_request_message.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

namespace toucan::rpc {

std::size_t encoded_size(const sync_request& value)
{
    capnp::MallocMessageBuilder message;
    encode(value, message.initRoot<schema::PackedSyncRequest>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

std::size_t encoded_size(const sync_reply& value)
{
    capnp::MallocMessageBuilder message;
    encode(value, message.initRoot<schema::PackedSyncReply>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

} // namespace toucan::rpc
