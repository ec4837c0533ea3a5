#pragma once

#include <string>
#include <string_view>

namespace toucan {

/// SHA-256 of a byte string as 64 lower-case hexadecimal digits. Immutable objects are named by it.
/// Throws std::runtime_error if libcrypto fails.
std::string content_hash(std::string_view bytes);

} // namespace toucan
