#pragma once

#include "http_connection.h"

#include "toucan/base/clock.h"
#include "toucan/edge/records.h"
#include "toucan/edge/routing_config.h"
#include "toucan/edge/settings.h"
#include "toucan/policy/backend_health.h"
#include "toucan/policy/cold_limit.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/random/random.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan::edge {

/// State of a backend server in this daemon: its record, load, health and connections.
struct backend_server {
    backend_record record;
    /// Low half of the stable hash of the name, under which daemons report its load to each other.
    std::uint32_t id = 0;
    /// Low half of the stable hash of its failure domain's name.
    std::uint32_t domain_id = 0;
    region_name region;
    bool in_local_region = true;
    /// The record was removed. No new requests are sent; requests in progress complete.
    bool removed = false;
    steady_time cold_until;
    policy::cold_limit cold;
    policy::backend_health health;
    /// Shortest connection setup time; 0 before the first connection.
    std::chrono::nanoseconds round_trip{0};
    /// Slots occupied by this daemon's requests. A request that spends half of its time on the
    /// network counts as half a slot.
    double local_load = 0;
    /// Slots occupied by other daemons' requests, from their load reports.
    double peer_load = 0;
    /// Number of daemons that share the server: this one, and the others that report requests in
    /// progress on it.
    std::size_t sharers = 1;
    /// Upper bound of `local_load` until the next load report of the other daemons, in slots.
    double local_load_limit = 0;
    std::vector<std::shared_ptr<http_connection>> idle;
    /// Open connections, idle or in use.
    std::uint32_t connections = 0;
};

/// Name and region of a daemon; determines its rank among the daemons that share the request rate
/// of a cold backend server.
struct daemon_location {
    std::string name;
    region_name region;

    friend bool operator==(const daemon_location&, const daemon_location&) = default;
};

/// The backend servers of all services and their connection pools. Not thread-safe; runs on the
/// event loop.
///
/// The references passed to the constructor must outlive the fleet.
class fleet {
public:
    using server = std::shared_ptr<backend_server>;

    fleet(asio::io_context& loop, const clock& time, const settings& daemon_settings);

    /// Adds a backend server or replaces its record. A server that has restarted starts with new
    /// load, health and connections.
    void apply(const backend_record& record);
    /// Removes a backend server and closes its idle connections.
    void remove(const backend_server_name& name);
    /// Applies the cold start settings of the services.
    void set_config(std::shared_ptr<const routing_config> config);
    /// Records an evacuation order, or its end, from the operator's table.
    /// @param evacuated whether no requests may be sent to the domain's backend servers.
    void set_evacuated(const failure_domain_name& domain, bool evacuated);
    /// Replaces the evacuated failure domains that other daemons report. They apply to a daemon
    /// that has missed an order because the store does not answer it.
    /// @param domains low halves of the stable hashes of the domain names; empty if this daemon's
    /// operator table is up to date.
    void set_reported_evacuations(const std::vector<std::uint32_t>& domains);
    /// Failure domains that are evacuated by the operator's table, as low halves of the stable
    /// hashes of their names. Reported evacuations are not included.
    [[nodiscard]] std::vector<std::uint32_t> operator_evacuated_ids() const;
    /// Recomputes this daemon's share of the request rates of cold servers.
    /// @param daemons all known daemons, among which the rates are divided.
    void set_daemons(std::vector<daemon_location> daemons);

    /// Backend servers of a service; empty if the service has none.
    [[nodiscard]] const std::vector<server>& of(const service_name& service) const;
    /// @return nullptr if the id is unknown.
    [[nodiscard]] server find(std::uint32_t id) const;
    [[nodiscard]] const absl::flat_hash_map<std::uint32_t, server>& all() const { return by_id_; }
    /// Whether a server may receive requests now: not removed, leaving, evacuated or avoided by its
    /// health, and within its cold limit.
    [[nodiscard]] bool available(const backend_server& it) const;
    /// Recomputes `local_load_limit` of all backend servers: this daemon's share of the free slots.
    void update_local_load_limits();
    /// Whether a server is in its cold period, during which its request rate is limited.
    [[nodiscard]] bool cold(const backend_server& it) const;

    /// Takes an idle connection from the pool, or creates one that connects on first use.
    std::shared_ptr<http_connection> take_connection(const server& to);
    /// Returns a connection to the pool, or closes it if it cannot be reused.
    void return_connection(const server& to, const std::shared_ptr<http_connection>& it);
    /// Closes the idle connections.
    void close_connections(backend_server& it);

    /// Number of connections created since the start of the process.
    [[nodiscard]] std::uint64_t connections_opened() const { return connections_opened_; }

private:
    void rebuild_indexes();
    /// Merges the operator's and the reported evacuations.
    void update_evacuated();
    /// Starts the cold period of a server that returns from an evacuation.
    void mark_cold(backend_server& it) const;
    void configure_cold_limit(backend_server& it) const;
    /// Rank of this daemon, from 0, in the order of daemons that share a cold server's rate.
    [[nodiscard]] std::size_t cold_limit_rank(const backend_server& it) const;

    asio::io_context& loop_;
    const clock& time_;
    const settings& settings_;
    std::shared_ptr<const routing_config> config_;
    std::vector<daemon_location> daemons_;
    absl::flat_hash_map<backend_server_name, server> servers_;
    absl::flat_hash_map<std::uint32_t, server> by_id_;
    absl::flat_hash_map<service_name, std::vector<server>> by_service_;
    /// Evacuated failure domains, as low halves of the stable hashes of their names: from the
    /// operator's table, from reports of other daemons, and the union of both.
    absl::flat_hash_set<std::uint32_t> operator_evacuated_;
    absl::flat_hash_set<std::uint32_t> reported_evacuated_;
    absl::flat_hash_set<std::uint32_t> evacuated_;
    std::uint64_t connections_opened_ = 0;
    absl::InsecureBitGen random_;
};

} // namespace toucan::edge
