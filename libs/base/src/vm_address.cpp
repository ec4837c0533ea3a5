#include "toucan/base/vm_address.h"

#include "toucan/base/last_reason.h"

#include <fmt/format.h>

#include <arpa/inet.h>

#include <charconv>

namespace toucan {

std::optional<std::uint32_t> parse_ipv4(std::string_view text)
{
    in_addr buf{};
    if (inet_pton(AF_INET, std::string(text).c_str(), &buf) != 1) {
        return fail(fmt::format("'{}' is not an IPv4 address (a.b.c.d)", text));
    }
    return ntohl(buf.s_addr);
}

std::string format_ipv4(std::uint32_t ip)
{
    return fmt::format("{}.{}.{}.{}", ip >> 24U, (ip >> 16U) & 255U, (ip >> 8U) & 255U, ip & 255U);
}

std::optional<vm_address> vm_address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return fail(fmt::format("'{}' has no port (a.b.c.d:port)", text));
    }
    const auto ip = parse_ipv4(text.substr(0, colon));
    if (!ip) {
        return std::nullopt;
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec != std::errc() || end != digits.data() + digits.size() || port == 0) {
        return fail(fmt::format("'{}' is not a port (1 to 65535)", digits));
    }
    return vm_address(*ip, port);
}

std::string vm_address::ip_text() const
{
    return format_ipv4(ip_);
}

std::string vm_address::to_string() const
{
    return fmt::format("{}:{}", format_ipv4(ip_), port_);
}

} // namespace toucan
