#include "client_block_text.h"

#include "toucan/base/last_reason.h"
#include "toucan/base/vm_address.h"
#include "toucan/steering/cidr.h"

#include <fmt/format.h>

#include <charconv>

namespace toucan::daemon {

std::optional<std::uint32_t> parse_client_block(std::string_view text)
{
    constexpr unsigned address_bits = 32;
    const auto slash = text.find('/');
    const auto ip = parse_ipv4(text.substr(0, slash));
    unsigned length = 0;
    const auto digits =
        slash == std::string_view::npos ? std::string_view() : text.substr(slash + 1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), length);
    if (!ip || ec != std::errc() || end != digits.data() + digits.size() || length > address_bits) {
        return fail(fmt::format("'{}' is not a client block (a.b.c.d/n, n from 0 to 32)", text));
    }
    return *ip & steering::prefix_mask(static_cast<std::uint8_t>(length));
}

} // namespace toucan::daemon
