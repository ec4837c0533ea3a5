#pragma once

#include "toucan/steering/client_block.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::steering {

/// @param prefix_length 0 to 32.
constexpr std::uint32_t prefix_mask(std::uint8_t prefix_length)
{
    return prefix_length == 0 ? 0U : ~std::uint32_t{0} << (32U - prefix_length);
}

/// @param text `a.b.c.d/n` without host bits.
/// @return the block without a failure domain, or nothing with a last reason.
std::optional<client_block> parse_cidr(std::string_view text);
/// @param block address and prefix length to write.
std::string format_cidr(const client_block& block);

} // namespace toucan::steering
