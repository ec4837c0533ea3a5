#pragma once

#include "toucan/steering/client_block.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::steering {

/// Network mask in host byte order.
/// @param prefix_length 0 to 32.
constexpr std::uint32_t prefix_mask(std::uint8_t prefix_length)
{
    return prefix_length == 0 ? 0U : ~std::uint32_t{0} << (32U - prefix_length);
}

/// Parses a client block in CIDR notation.
/// @param text `a.b.c.d/n`; the host bits must be zero.
/// @return the block without a failure domain, or nothing with a last reason.
std::optional<client_block> parse_cidr(std::string_view text);

/// Formats address and prefix length as `a.b.c.d/n`; the failure domain is not written.
std::string format_cidr(const client_block& block);

} // namespace toucan::steering
