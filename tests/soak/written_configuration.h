#pragma once

#include "toucan/base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace toucan::soak {

/// Route of a written configuration.
struct written_route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::string service;
    /// Requests may be executed more than once.
    bool idempotent = true;
    /// Requests need no key.
    bool open = false;
    /// Empty for all regions.
    std::vector<std::string> allowed_regions = {};

    friend bool operator==(const written_route&, const written_route&) = default;
};

/// Workspace of a written configuration.
struct written_workspace {
    std::string name;
    std::vector<std::string> keys;
    /// Empty for all regions.
    std::vector<std::string> allowed_regions = {};

    friend bool operator==(const written_workspace&, const written_workspace&) = default;
};

/// Configuration as the operator wrote it to the store.
struct written_configuration {
    std::uint64_t version = 0;
    /// Time of the acknowledgement.
    steady_time at;
    std::vector<written_route> routes;
    /// No workspaces: requests need no key.
    std::vector<written_workspace> workspaces;

    friend bool operator==(const written_configuration&, const written_configuration&) = default;
};

} // namespace toucan::soak
