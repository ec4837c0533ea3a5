#pragma once

#include "written_configuration.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace toucan::soak {

inline constexpr const char* desk_service = "desk";
inline constexpr const char* archive_service = "archive";

/// Content of a configuration. Odd and even ones differ: they move a route, swap the regions of
/// routes, add and remove routes and keys, and give a key to another workspace.
/// @param number 1 for the first configuration.
[[nodiscard]] written_configuration make_configuration(std::uint64_t number, steady_time at);

/// @return the row that the operator writes to the store.
[[nodiscard]] nlohmann::json to_json(const written_configuration& it);

/// Service that the moved route selects in a configuration.
[[nodiscard]] std::string moved_service(const written_configuration& it);

/// Target and key of a request.
struct request_target {
    std::string host;
    std::string path;
    std::optional<std::string> key;
    /// All configurations have its route and key, and its service has servers in a region that
    /// they allow.
    bool expects_service = true;
};

/// Draws a request to any route with the key of any workspace.
[[nodiscard]] request_target draw_target(std::mt19937_64& random);

/// Draws a request to a path on the main host with the key of a workspace that all services serve.
[[nodiscard]] request_target draw_served_target(std::mt19937_64& random, std::string path);

} // namespace toucan::soak
