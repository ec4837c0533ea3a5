#pragma once

#include "toucan/base/last_reason.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace toucan::edge {

/// Serializes a message in Cap'n Proto's packed encoding.
inline std::string packed_text(capnp::MessageBuilder& message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// Decodes a packed Cap'n Proto message received from another daemon.
/// @param type_name name of the message type for the last reason.
/// @param read converts the message's root to the result, an optional.
/// @return nothing with a last reason if the bytes are not a valid message of this type.
template <typename Schema, typename Read>
auto read_packed(std::string_view bytes, const char* type_name, Read read)
    -> std::invoke_result_t<Read, typename Schema::Reader>
{
    try {
        kj::ArrayInputStream in(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader message(in);
        return read(message.getRoot<Schema>());
    }
    catch (const kj::Exception& ex) {
        return fail(std::string(type_name) + ": " + ex.getDescription().cStr());
    }
}

} // namespace toucan::edge
