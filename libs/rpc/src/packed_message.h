#pragma once

#include "message_limit.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace toucan::rpc::schema {

/// Encodes a value as a packed message of its own.
template <typename Schema, typename Value>
kj::Array<kj::byte> pack(const Value& value)
{
    capnp::MallocMessageBuilder message;
    encode(value, message.initRoot<Schema>());
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    return kj::heapArray<kj::byte>(out.getArray());
}

/// Decodes a packed message. Throws a kj::Exception if it is malformed, or too large unpacked.
template <typename Schema>
auto unpack(capnp::Data::Reader packed)
{
    kj::ArrayInputStream in(packed);
    capnp::PackedMessageReader message(in, reader_options());
    return decode(message.getRoot<Schema>());
}

} // namespace toucan::rpc::schema
