#pragma once

#include "toucan/backend/backend_client.h"
#include "toucan/base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::backend {

/// What a backend server says about itself.
enum class backend_state : std::uint8_t { ready, starting, draining };

/// Answer of `GET /health`: `{"state": "ready", "incarnation": "7"}`.
struct health_report {
    backend_state state = backend_state::ready;
    /// Distinguishes a backend server from its former self.
    std::string incarnation;

    friend bool operator==(const health_report&, const health_report&) = default;
};

/// Answer of `GET /load`: `{"in_use": 3, "slots": 9}`.
struct load_report {
    std::uint32_t in_use = 0;
    std::uint32_t slots = 0;

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// Result of one poll of a backend server by its home daemon. What did not answer is empty.
struct backend_poll {
    /// Before the requests were sent, so the age of the reports is never understated.
    steady_time asked_at;
    std::optional<health_report> health;
    std::optional<load_report> load;
    /// Why a report is missing.
    std::string reason;
};

/// @param body JSON; anything else gives nothing and a last reason.
std::optional<health_report> parse_health(std::string_view body);
/// @param body JSON; anything else gives nothing and a last reason.
std::optional<load_report> parse_load(std::string_view body);

/// Asks a backend server for its health and its load. Called by the home daemon on a timer.
/// @param client backend server to ask.
/// @param time clock of the deadlines.
/// @param deadline when to give up.
backend_poll poll_backend(backend_client& client, const clock& time, steady_time deadline);

} // namespace toucan::backend
