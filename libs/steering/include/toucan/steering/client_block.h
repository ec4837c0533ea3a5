#pragma once

#include "toucan/base/name.h"

#include <compare>
#include <cstdint>

namespace toucan::steering {

/// A block of client addresses and the failure domain that it is steered to.
struct client_block {
    std::uint32_t ip = 0;
    std::uint8_t prefix_length = 0;
    failure_domain_name failure_domain;

    friend auto operator<=>(const client_block&, const client_block&) = default;
};

} // namespace toucan::steering
