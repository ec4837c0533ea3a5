#pragma once

#include "toucan/base/name.h"

#include <cstdint>

namespace toucan::rpc {

/// Load of one service at one daemon, or summed over a failure domain.
struct service_load {
    service_name service;
    /// Sum of the admitted slots of the backend servers.
    std::uint32_t capacity_slots = 0;
    /// Slots for more requests. In a domain summary: admitted slots that are not in use. At one
    /// daemon: slots available for new credit.
    std::uint32_t spare_slots = 0;
    std::uint32_t queued = 0;

    friend bool operator==(const service_load&, const service_load&) = default;
};

} // namespace toucan::rpc
