#pragma once

#include "toucan/base/name.h"

#include <chrono>
#include <cstdint>

namespace toucan::steering {

/// The network link between two regions.
struct link {
    region_name first;
    region_name second;
    /// Capacity of each direction.
    std::uint32_t mbit_per_s = 0;
    std::chrono::milliseconds one_way_delay{0};

    friend bool operator==(const link&, const link&) = default;
};

} // namespace toucan::steering
