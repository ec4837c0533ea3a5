#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace toucan::daemon {

/// Parses a client block.
/// @param text `a.b.c.d/n` with n from 0 to 32.
/// @return the first address of the block in host byte order, or nothing with a last reason.
std::optional<std::uint32_t> parse_client_block(std::string_view text);

} // namespace toucan::daemon
