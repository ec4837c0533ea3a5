#pragma once

#include "toucan/base/name.h"

#include <compare>
#include <cstdint>

namespace toucan::steering {

/// A block of client IPv4 addresses and the failure domain to which its requests are steered.
struct client_block {
    /// First address, in host byte order.
    std::uint32_t ip = 0;
    std::uint8_t prefix_length = 0;
    failure_domain_name failure_domain;

    friend auto operator<=>(const client_block&, const client_block&) = default;
};

} // namespace toucan::steering
