#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>

namespace toucan::standins {

/// Fault switches of one proxy route. `forward` is the direction from the connecting side.
struct route_faults {
    /// Connections are closed and new ones are refused.
    bool cut = false;
    /// Connections are accepted and kept, and nothing is read from them.
    bool blackhole = false;
    /// Bytes read from now on in this direction are discarded.
    bool drop_forward = false;
    bool drop_back = false;
    std::chrono::milliseconds delay_forward{0};
    std::chrono::milliseconds delay_back{0};
    /// New connections get a further fixed delay below this limit, chosen from a fixed seed.
    std::chrono::milliseconds jitter{0};
    /// A connection is closed after this many bytes in the back direction; negative is no limit.
    std::int64_t truncate_after = -1;

    /// Changes the fields that a control request names.
    /// @param body JSON object; durations are in ms.
    void update(const nlohmann::json& body);
};

} // namespace toucan::standins
