#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>

namespace toucan::standins {

/// Fault switches of one proxy route. `forward` is the direction from client to server, `back` the
/// opposite one.
struct route_faults {
    /// Closes all connections and refuses new ones.
    bool cut = false;
    /// Accepts connections and keeps them open, but reads nothing from them.
    bool blackhole = false;
    /// Discards bytes that are read in this direction while the switch is set.
    bool drop_forward = false;
    bool drop_back = false;
    std::chrono::milliseconds delay_forward{0};
    std::chrono::milliseconds delay_back{0};
    /// Upper limit of an additional delay that each new connection gets in both directions, drawn
    /// from a seeded generator.
    std::chrono::milliseconds jitter{0};
    /// Number of bytes in the back direction after which a connection is closed; negative means no
    /// limit.
    std::int64_t truncate_after = -1;

    /// Sets the fields that are present in a control request.
    /// @param body JSON object; durations are in ms.
    void update(const nlohmann::json& body);
};

} // namespace toucan::standins
