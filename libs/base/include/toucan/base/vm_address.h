#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace toucan {

/// IPv4 address and port of a process on a VM. Host byte order.
class vm_address {
public:
    constexpr vm_address() = default;
    constexpr vm_address(std::uint32_t ip, std::uint16_t port) : ip_(ip), port_(port) {}

    /// @param text `a.b.c.d:port`.
    /// @return empty, with a last reason, if the text is malformed or the port is 0.
    static std::optional<vm_address> parse(std::string_view text);

    [[nodiscard]] constexpr std::uint32_t ip() const { return ip_; }
    [[nodiscard]] constexpr std::uint16_t port() const { return port_; }
    /// The same IP address with another port.
    [[nodiscard]] constexpr vm_address with_port(std::uint16_t port) const { return {ip_, port}; }
    [[nodiscard]] std::string ip_text() const;
    [[nodiscard]] std::string to_string() const;

    friend constexpr auto operator<=>(const vm_address&, const vm_address&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const vm_address& it) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(state), it.ip_, it.port_);
    }

private:
    std::uint32_t ip_ = 0;
    std::uint16_t port_ = 0;
};

/// Parses a dotted IPv4 address without a port.
/// @param text `a.b.c.d`.
/// @return the address in host byte order, or empty, with a last reason.
std::optional<std::uint32_t> parse_ipv4(std::string_view text);
/// Formats an IPv4 address as `a.b.c.d`.
/// @param ip address in host byte order.
std::string format_ipv4(std::uint32_t ip);

} // namespace toucan
