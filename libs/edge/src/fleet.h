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

/// A backend server as this daemon knows it.
struct backend_server {
    backend_record record;
    /// Low half of the stable hash of the name, under which daemons report its load to each other.
    std::uint32_t id = 0;
    /// Low half of the stable hash of its failure domain's name.
    std::uint32_t domain_id = 0;
    region_name region;
    bool near = true;
    /// Its entry is gone: it takes no new requests, but those in progress go on.
    bool removed = false;
    steady_time cold_until;
    policy::cold_limit cold;
    policy::backend_health health;
    /// Shortest time that a connection to it took to open.
    std::chrono::nanoseconds round_trip{0};
    /// Slots that requests of this daemon keep busy there. A request that is on its way for half of
    /// its time counts as half a slot.
    double own_load = 0;
    /// Slots that requests of other daemons keep busy there, by their reports.
    double peer_load = 0;
    /// Daemons whose requests are in progress there, this one included.
    std::size_t sharers = 1;
    /// Own load up to which requests may be sent until the others' loads are heard again.
    double own_limit = 0;
    std::vector<std::shared_ptr<http_connection>> idle;
    std::uint32_t connections = 0;
};

/// A daemon among those that share the rates of cold backend servers.
struct daemon_place {
    std::string name;
    region_name region;

    friend bool operator==(const daemon_place&, const daemon_place&) = default;
};

/// The backend servers of all services, with their connections.
class fleet {
public:
    using server = std::shared_ptr<backend_server>;

    fleet(asio::io_context& loop, const clock& time, const settings& own);

    /// Adds a backend server or replaces what it says of itself.
    void apply(const backend_record& record);
    /// Its entry is gone.
    void remove(const backend_server_name& name);
    void set_config(std::shared_ptr<const routing_config> config);
    /// @param evacuated whether its backend servers may be sent nothing.
    void set_evacuated(const failure_domain_name& domain, bool evacuated);
    /// Evacuated failure domains as other daemons report them, for a daemon that has missed the
    /// order itself because the store does not serve it.
    /// @param domains low halves of the stable hashes of their names; empty if this daemon is up to
    /// date.
    void set_reported_evacuations(const std::vector<std::uint32_t>& domains);
    /// Low halves of the stable hashes of the names of the evacuated failure domains.
    [[nodiscard]] std::vector<std::uint32_t> evacuated_ids() const;
    /// @param daemons all known daemons, among which the rates of cold servers are divided.
    void set_daemons(std::vector<daemon_place> daemons);

    [[nodiscard]] const std::vector<server>& of(const service_name& service) const;
    [[nodiscard]] server find(std::uint32_t id) const;
    [[nodiscard]] const absl::flat_hash_map<std::uint32_t, server>& all() const { return by_id_; }
    /// Whether requests may be sent there at all now.
    [[nodiscard]] bool available(const backend_server& it) const;
    /// Divides the free slots of all backend servers among the daemons anew.
    void divide_slots();
    [[nodiscard]] bool cold(const backend_server& it) const;

    /// An idle connection, or a new one that is not connected yet.
    std::shared_ptr<http_connection> take_connection(const server& to);
    /// Keeps a connection for reuse, or drops it.
    void return_connection(const server& to, const std::shared_ptr<http_connection>& it);
    void close_connections(backend_server& it);

    [[nodiscard]] std::uint64_t connections_opened() const { return connections_opened_; }

private:
    void index();
    /// Joins the ordered and the reported evacuations.
    void update_evacuated();
    /// What an evacuated server is when it is used again: cold.
    void begin_cold(backend_server& it) const;
    void configure_cold(backend_server& it) const;
    /// Place of this daemon in the order of daemons that may use a cold server.
    [[nodiscard]] std::size_t rank_for(const backend_server& it) const;

    asio::io_context& loop_;
    const clock& time_;
    const settings& own_;
    std::shared_ptr<const routing_config> config_;
    std::vector<daemon_place> daemons_;
    absl::flat_hash_map<backend_server_name, server> servers_;
    absl::flat_hash_map<std::uint32_t, server> by_id_;
    absl::flat_hash_map<service_name, std::vector<server>> by_service_;
    /// Failure domains, as low halves of the stable hashes of their names: by the operator's order
    /// as this daemon read it, by the reports of other daemons, and by either.
    absl::flat_hash_set<std::uint32_t> ordered_evacuated_;
    absl::flat_hash_set<std::uint32_t> reported_evacuated_;
    absl::flat_hash_set<std::uint32_t> evacuated_;
    std::uint64_t connections_opened_ = 0;
    absl::InsecureBitGen random_;
};

} // namespace toucan::edge
