#pragma once

#include "toucan/policy/rate_limit_share.h"
#include "toucan/policy/workspace_quota.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <utility>

namespace toucan::policy {

/// Load on one backend server.
struct backend_use {
    /// Slots occupied by requests.
    double slots = 0;
    /// Number of daemons whose requests occupy them.
    std::uint32_t daemons = 0;

    friend bool operator==(const backend_use&, const backend_use&) = default;
};

/// Aggregated load of a set of daemons: use per backend server, requests to those with a rate
/// limit, demand per region and service, and requests of workspaces with a quota. Backend servers,
/// regions, services and workspaces are identified by the low halves of the stable hashes of their
/// names.
class load_summary {
public:
    /// Region, then service.
    using demand_key = std::pair<std::uint32_t, std::uint32_t>;

    /// Adds load on a backend server.
    void add_backend(std::uint32_t backend, const backend_use& use);
    /// Adds recent requests to a backend server with a rate limit.
    void add_requests(std::uint32_t backend, const request_count& it);
    /// @param slots slots that the requests of the region's callers would occupy at the service.
    void add_demand(const demand_key& key, double slots);
    /// Adds the requests of a workspace with a quota.
    void add_workspace(std::uint32_t workspace, const workspace_usage& it);

    /// Adds another summary.
    load_summary& operator+=(const load_summary& other);
    /// Subtracts another summary. Load that the other summary has in excess, for example because it
    /// is older, is ignored.
    load_summary& operator-=(const load_summary& other);

    /// Load on a backend server; zero if there is none.
    [[nodiscard]] backend_use backend(std::uint32_t id) const;
    /// Recent requests to a backend server with a rate limit; zero if there are none.
    [[nodiscard]] request_count requests(std::uint32_t backend) const;
    [[nodiscard]] const absl::flat_hash_map<std::uint32_t, request_count>& requests() const
    {
        return requests_;
    }
    /// Demand in slots; 0 if there is none.
    [[nodiscard]] double demand(const demand_key& key) const;
    /// Load of all backend servers that have any.
    [[nodiscard]] const absl::flat_hash_map<std::uint32_t, backend_use>& backends() const
    {
        return backends_;
    }
    /// Demand in slots by region and service.
    [[nodiscard]] const absl::flat_hash_map<demand_key, double>& demands() const
    {
        return demands_;
    }
    /// Requests of a workspace with a quota; zero if there are none.
    [[nodiscard]] workspace_usage workspace(std::uint32_t id) const;
    [[nodiscard]] const absl::flat_hash_map<std::uint32_t, workspace_usage>& workspaces() const
    {
        return workspaces_;
    }
    /// Takes over the workspaces of another summary.
    void set_workspaces(const load_summary& from) { workspaces_ = from.workspaces_; }
    [[nodiscard]] bool empty() const
    {
        return backends_.empty() && requests_.empty() && demands_.empty() && workspaces_.empty();
    }

    friend bool operator==(const load_summary&, const load_summary&) = default;

private:
    absl::flat_hash_map<std::uint32_t, backend_use> backends_;
    absl::flat_hash_map<std::uint32_t, request_count> requests_;
    absl::flat_hash_map<demand_key, double> demands_;
    absl::flat_hash_map<std::uint32_t, workspace_usage> workspaces_;
};

} // namespace toucan::policy
