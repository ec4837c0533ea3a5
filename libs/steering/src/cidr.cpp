#include "toucan/steering/cidr.h"

#include "toucan/base/last_reason.h"
#include "toucan/base/vm_address.h"

#include <fmt/format.h>

#include <charconv>

namespace toucan::steering {

std::optional<client_block> parse_cidr(std::string_view text)
{
    constexpr int max_prefix_length = 32;
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return fail(fmt::format("'{}' has no prefix length", text));
    }
    const auto ip = parse_ipv4(text.substr(0, slash));
    if (!ip) {
        return std::nullopt;
    }
    const auto digits = text.substr(slash + 1);
    int n = -1;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), n);
    if (ec != std::errc() || end != digits.data() + digits.size() || n < 0 ||
        n > max_prefix_length) {
        return fail(fmt::format("'{}' is not a prefix length", digits));
    }
    client_block block{*ip, static_cast<std::uint8_t>(n), {}};
    if ((block.ip & ~prefix_mask(block.prefix_length)) != 0) {
        return fail(fmt::format("'{}' has address bits below its prefix", text));
    }
    return block;
}

std::string format_cidr(const client_block& block)
{
    return fmt::format("{}/{}", format_ipv4(block.ip), block.prefix_length);
}

} // namespace toucan::steering
