#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace toucan::standins {

/// Parameters of a backend stand-in. `/control/settings` changes them while it runs.
struct backend_settings {
    std::string name;
    std::uint32_t slots = 1;
    std::chrono::milliseconds service_time{5};
    /// A cold start lasts this long and multiplies the service time.
    std::chrono::milliseconds cold_for{0};
    double cold_factor = 4;
    /// The health and load endpoints answer as of this long ago.
    std::chrono::milliseconds report_lag{0};
    /// Added before an answer of the health and load endpoints.
    std::chrono::milliseconds report_delay{0};
    /// False answers instead of the true state; empty and negative mean no lie.
    std::string lie_state;
    std::int64_t lie_in_use = -1;

    /// Changes the fields that a control request names.
    /// @param body JSON object; durations are in ms.
    void update(const nlohmann::json& body);
};

} // namespace toucan::standins
