#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <utility>

namespace toucan::policy {

/// Load of one backend server.
struct backend_use {
    /// Slots that requests keep busy there.
    double slots = 0;
    /// Daemons whose requests do so.
    std::uint32_t daemons = 0;

    friend bool operator==(const backend_use&, const backend_use&) = default;
};

/// What the requests of some daemons, taken together, keep busy and ask for. Backend servers,
/// regions and services are known by the low halves of the stable hashes of their names.
class load_summary {
public:
    /// Region and service.
    using demand_key = std::pair<std::uint32_t, std::uint32_t>;

    void add_backend(std::uint32_t backend, const backend_use& use);
    /// @param slots that the requests of a region's callers would keep busy at a service.
    void add_demand(const demand_key& key, double slots);

    load_summary& operator+=(const load_summary& other);
    /// Takes out what another summary holds. What it holds in excess, for example because it is
    /// older, is ignored.
    load_summary& operator-=(const load_summary& other);

    [[nodiscard]] backend_use backend(std::uint32_t id) const;
    [[nodiscard]] double demand(const demand_key& key) const;
    [[nodiscard]] const absl::flat_hash_map<std::uint32_t, backend_use>& backends() const
    {
        return backends_;
    }
    [[nodiscard]] const absl::flat_hash_map<demand_key, double>& demands() const
    {
        return demands_;
    }
    [[nodiscard]] bool empty() const { return backends_.empty() && demands_.empty(); }

    friend bool operator==(const load_summary&, const load_summary&) = default;

private:
    absl::flat_hash_map<std::uint32_t, backend_use> backends_;
    absl::flat_hash_map<demand_key, double> demands_;
};

} // namespace toucan::policy
