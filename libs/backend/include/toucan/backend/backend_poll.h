#pragma once

#include "toucan/backend/backend_client.h"
#include "toucan/base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::backend {

/// Life-cycle state reported by a backend server.
enum class backend_state : std::uint8_t { ready, starting, draining };

/// Response to `GET /health`: `{"state": "ready", "incarnation": "7"}`.
struct health_report {
    backend_state state = backend_state::ready;
    /// Identifies one run of the backend server; changes when it restarts.
    std::string incarnation;

    friend bool operator==(const health_report&, const health_report&) = default;
};

/// Response to `GET /load`: `{"in_use": 3, "slots": 9}`.
struct load_report {
    std::uint32_t in_use = 0;
    std::uint32_t slots = 0;

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// Result of one poll of a backend server by its home daemon. A report is empty if its request
/// failed or the body was malformed.
struct backend_poll {
    /// Time before the requests were sent, so that the age of the reports is never underestimated.
    steady_time requested_at;
    std::optional<health_report> health;
    std::optional<load_report> load;
    /// Reason for the last missing report; empty if both are present.
    std::string reason;
};

/// Parses the body of `GET /health`. Accepts any input.
/// @return empty, with a last reason, if the body is malformed.
std::optional<health_report> parse_health(std::string_view body);
/// Parses the body of `GET /load`. Accepts any input.
/// @return empty, with a last reason, if the body is malformed.
std::optional<load_report> parse_load(std::string_view body);

/// Requests the health and the load of a backend server, one after the other. Called periodically
/// by the home daemon.
/// @param time clock of `requested_at`.
/// @param deadline end of both requests.
backend_poll poll_backend(backend_client& client, const clock& time, steady_time deadline);

} // namespace toucan::backend
