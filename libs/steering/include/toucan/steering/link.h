#pragma once

#include "toucan/base/name.h"

#include <chrono>
#include <cstdint>

namespace toucan::steering {

/// The link between two regions. Capacity holds for each direction.
struct link {
    region_name first;
    region_name second;
    std::uint32_t mbit_per_s = 0;
    std::chrono::milliseconds one_way_delay{0};

    friend bool operator==(const link&, const link&) = default;
};

} // namespace toucan::steering
