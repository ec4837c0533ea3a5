#pragma once

#include <capnp/blob.h>

#include <cstdint>
#include <stdexcept>
#include <string>

namespace toucan::rpc {

/// Sets a text field unless the text is empty. An absent text takes only its pointer on the wire.
template <typename Set>
void set_text(const std::string& text, Set set)
{
    if (!text.empty()) {
        set(capnp::Text::Reader(text.data(), text.size()));
    }
}

/// Sets a data field unless the byte string is empty.
template <typename Set>
void set_data(const std::string& bytes, Set set)
{
    if (!bytes.empty()) {
        set(capnp::Data::Reader(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    }
}

inline std::string text_of(capnp::Text::Reader in)
{
    return {in.begin(), in.size()};
}

inline std::string bytes_of(capnp::Data::Reader in)
{
    return {in.asChars().begin(), in.size()};
}

/// Converts a received number to an enumerator. Throws std::invalid_argument if it is out of range,
/// which fails the decoding of the whole message.
/// @param last enumerator with the highest value.
template <typename Enum>
Enum enum_of(std::uint16_t value, Enum last)
{
    if (value > static_cast<std::uint16_t>(last)) {
        throw std::invalid_argument("unrecognized enumerator in a message");
    }
    return static_cast<Enum>(value);
}

} // namespace toucan::rpc
