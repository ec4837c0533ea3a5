#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace toucan::standins {

/// Parameters of a backend stand-in. `/control/settings` changes them at runtime.
struct backend_settings {
    std::string name;
    std::uint32_t slots = 1;
    std::chrono::milliseconds service_time{5};
    /// Duration of the cold start, in which the service time is multiplied by `cold_factor`.
    std::chrono::milliseconds cold_for{0};
    double cold_factor = 4;
    /// Age of the state that the health and load endpoints report.
    std::chrono::milliseconds report_lag{0};
    /// Delay of the responses of the health and load endpoints.
    std::chrono::milliseconds report_delay{0};
    /// False values that the health and load endpoints report; an empty state and a negative number
    /// disable them.
    std::string state_override;
    std::int64_t in_use_override = -1;

    /// Sets the fields that are present in a control request.
    /// @param body JSON object; durations are in ms.
    void update(const nlohmann::json& body);
};

} // namespace toucan::standins
