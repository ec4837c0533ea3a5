#pragma once

#include <capnp/blob.h>

#include <cstdint>
#include <stdexcept>
#include <string>

namespace toucan::rpc {

/// Sets a text field unless it is empty; an absent text costs no bytes besides its pointer.
template <typename Set>
void set_text(const std::string& text, Set set)
{
    if (!text.empty()) {
        set(capnp::Text::Reader(text.data(), text.size()));
    }
}

/// Sets a byte field unless it is empty.
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

/// Reads an enumerator; an unrecognised one makes the whole message unreadable.
/// @param value as received.
/// @param last highest enumerator.
template <typename Enum>
Enum enum_of(std::uint16_t value, Enum last)
{
    if (value > static_cast<std::uint16_t>(last)) {
        throw std::invalid_argument("unrecognised enumerator in a message");
    }
    return static_cast<Enum>(value);
}

} // namespace toucan::rpc
