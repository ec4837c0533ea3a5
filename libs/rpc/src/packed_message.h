#pragma once

#include "message_limit.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace toucan::rpc::schema {

/// Encodes a value as a separate message in Cap'n Proto's packed encoding.
template <typename Schema, typename Value>
kj::Array<kj::byte> pack(const Value& value)
{
    capnp::MallocMessageBuilder message;
    encode(value, message.initRoot<Schema>());
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    return kj::heapArray<kj::byte>(out.getArray());
}

/// Decodes a packed message. Throws kj::Exception if it is malformed or if its unpacked size
/// exceeds the limit.
template <typename Schema>
auto unpack(capnp::Data::Reader packed)
{
    kj::ArrayInputStream in(packed);
    capnp::PackedMessageReader message(in, reader_options());
    return decode(message.getRoot<Schema>());
}

} // namespace toucan::rpc::schema
