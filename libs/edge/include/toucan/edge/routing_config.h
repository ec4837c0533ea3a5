#pragma once

#include "toucan/base/name.h"
#include "toucan/edge/workspace.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::edge {

using std::chrono::milliseconds;

/// Whether requests of a route may be sent again after a failure.
enum class route_kind : std::uint8_t { idempotent, non_idempotent };

/// Share of a route's traffic that goes to one service.
struct weighted_service {
    service_name service;
    /// Relative to the sum of the weights of the route.
    double weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// Routing rule for the requests of one host and path prefix.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    route_kind kind = route_kind::non_idempotent;
    /// Deadline of a request: longest time until its response.
    milliseconds timeout{0};
    /// Target latency of a response.
    milliseconds objective{0};
    /// 0 is the most urgent.
    int priority = 0;
    /// Traffic split; at least one service.
    std::vector<weighted_service> services;
    /// Largest number of backend servers to which one request may be sent.
    std::uint32_t max_attempts = 1;
    /// Whether backend servers respond faster for an object that they handled recently.
    bool cache_affinity = false;
    /// Regions in which the requests may run; empty for all regions.
    std::vector<region_name> allowed_regions;
    /// Requests need no API key.
    bool open = false;
    /// Host and prefix are known, but not the other settings; its requests are refused.
    bool unreadable = false;

    friend bool operator==(const route&, const route&) = default;
};

/// Settings of one service in the routing configuration.
struct service_settings {
    std::string health_path;
    std::uint32_t max_connections = 0;
    /// Time for which a backend server is cold after its start.
    milliseconds cold_start{0};
    /// Requests per second that a cold backend server sustains.
    double cold_rate_per_s = 0;

    friend bool operator==(const service_settings&, const service_settings&) = default;
};

/// Limits on the requests and connections of callers.
struct caller_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 64U << 20U;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// Entry of a configuration that could not be read and is left out.
struct unreadable_entry {
    /// Kind of the entry: `routes`, `services` or `workspaces`.
    std::string section;
    std::string name;
    std::string reason;

    friend bool operator==(const unreadable_entry&, const unreadable_entry&) = default;
};

/// Entries of one version of the configuration.
struct config_entries {
    /// If several have the same host and prefix, the first one is used.
    std::vector<route> routes;
    absl::flat_hash_map<service_name, service_settings> services;
    caller_limits limits;
    workspace_table workspaces;
    std::vector<unreadable_entry> unreadable;
    /// The host and prefix of a route could not be read, so a request without a route may have one.
    bool routes_incomplete = false;
};

/// One version of the configuration. Immutable.
class routing_config {
public:
    /// @param version increases with each configuration.
    routing_config(std::uint64_t version, config_entries entries);

    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] const std::vector<route>& routes() const { return entries_.routes; }
    [[nodiscard]] const caller_limits& limits() const { return entries_.limits; }
    [[nodiscard]] const workspace_table& workspaces() const { return entries_.workspaces; }
    /// Entries that are left out.
    [[nodiscard]] const std::vector<unreadable_entry>& unreadable() const
    {
        return entries_.unreadable;
    }
    /// Whether a request without a route may have one that could not be read.
    [[nodiscard]] bool routes_incomplete() const { return entries_.routes_incomplete; }
    /// @return nullptr if the service has no settings.
    [[nodiscard]] const service_settings* service(const service_name& name) const;

    /// Finds the route of a host with the longest prefix that matches a path.
    /// @param host host name without port.
    /// @param target request target: path, with or without a query.
    /// @return nullptr if no route matches.
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;

private:
    using prefixes = absl::flat_hash_map<std::string, std::size_t>;

    std::uint64_t version_;
    config_entries entries_;
    absl::flat_hash_map<std::string, prefixes> hosts_;
};

} // namespace toucan::edge
