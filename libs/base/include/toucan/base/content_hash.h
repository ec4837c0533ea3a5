#pragma once

#include <string>
#include <string_view>

namespace toucan {

/// SHA-256 of a byte string, as 64 lower-case hexadecimal digits. Names immutable objects.
/// @param bytes content to hash.
std::string content_hash(std::string_view bytes);

} // namespace toucan
