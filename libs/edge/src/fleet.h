#pragma once

#include "http_connection.h"
#include "peer_report.h"
#include "server_notice.h"
#include "tunables.h"

#include "toucan/base/clock.h"
#include "toucan/edge/records.h"
#include "toucan/edge/routing_config.h"
#include "toucan/edge/settings.h"
#include "toucan/policy/backend_health.h"
#include "toucan/policy/cold_limit.h"
#include "toucan/policy/kept_share.h"
#include "toucan/policy/load_summary.h"
#include "toucan/policy/rate_limit_share.h"
#include "toucan/policy/server_load_estimate.h"
#include "toucan/policy/server_ranking.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/random/random.h>

#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan::edge {

/// State of a backend server in this daemon: its record, load, health and connections.
struct backend_server {
    backend_record record;
    /// Stable hash of the name, by which objects rank the server.
    std::uint64_t key = 0;
    /// Low half of `key`, under which daemons report the server's load to each other.
    std::uint32_t id = 0;
    /// Low half of the stable hash of its failure domain's name.
    std::uint32_t domain_id = 0;
    region_name region;
    bool in_local_region = true;
    /// The row is missing just after a store outage and may reappear. The server receives requests
    /// only if no other one of its region is left.
    bool lapsed = false;
    /// The server has announced in a response that it leaves. Ends with this run of the server.
    bool announced_leaving = false;
    /// Time until which the server wants no requests from this daemon.
    steady_time back_off_until;
    /// The record was removed, or replaced by that of another run. No new requests are sent;
    /// requests in progress complete.
    bool removed = false;
    /// Server that has started later at the same address. This one has ended then, although its row
    /// is still there.
    std::weak_ptr<backend_server> successor;
    steady_time cold_until;
    /// Valid for `cold_round`; see `fleet::available`.
    policy::cold_limit cold;
    std::uint64_t cold_round = 0;
    /// This daemon's share of the rate limit that the server has announced, if any.
    policy::rate_limit_share rate;
    /// Time of the last response, to any daemon, that tells whether there is a rate limit.
    steady_time rate_limit_known_at;
    /// That response was one to another daemon.
    bool rate_limit_reported = false;
    policy::backend_health health;
    /// Shortest connection setup time; 0 before the first connection.
    std::chrono::nanoseconds round_trip{0};
    /// Slots occupied by this daemon's requests. A request that spends half of its time on the
    /// network counts as half a slot.
    double local_load = 0;
    /// Slots occupied by other daemons' requests, from their load reports.
    double peer_load = 0;
    /// Load and speed from the server's own responses, combined with `peer_load`.
    policy::server_load_estimate estimate;
    /// Number of daemons that share the server: this one, and the others that report requests in
    /// progress on it.
    std::size_t sharers = 1;
    /// Share of its objects that the server keeps because of its load.
    policy::kept_share kept;
    /// Whether the log says that the server gives objects away, and the time of that line.
    bool logged_giving = false;
    steady_time giving_logged_at;
    /// Upper bound of `local_load` in slots, valid for `limit_round`; see `fleet::full`.
    double local_load_limit = 0;
    std::uint64_t limit_round = 0;
    /// End of the validity of a limit that rests on a load stated by the server.
    steady_time limit_expires = steady_time::max();
    std::vector<std::shared_ptr<http_connection>> idle;
    /// Connection that is being opened ahead of the next request.
    std::shared_ptr<http_connection> opening;
    /// Time for which the server keeps idle connections open, from its responses.
    milliseconds max_idle{tunables::default_spare_idle};
    steady_time last_used;
    /// Open connections, idle or in use.
    std::uint32_t connections = 0;

    /// Whether the server leaves, from its row or its responses.
    [[nodiscard]] bool leaving() const { return record.leaving || announced_leaving; }
    /// Whether another server has the address now.
    [[nodiscard]] bool replaced() const
    {
        const auto it = successor.lock();
        return it != nullptr && !it->removed;
    }
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

    /// @param memory limits the memory of partly received responses; may be null.
    fleet(asio::io_context& loop, const clock& time, const settings& daemon_settings,
          std::shared_ptr<byte_budget> memory = nullptr);

    /// Adds a backend server or replaces its record. A server that has restarted starts with new
    /// load, health and connections.
    void apply(const backend_record& record);
    /// Marks a backend server whose row may reappear; `apply` ends that.
    void set_lapsed(const backend_server_name& name);
    /// Removes a backend server and closes its idle connections.
    void remove(const backend_server_name& name);
    /// Applies the cold start settings of the services.
    void set_config(std::shared_ptr<const routing_config> config);
    /// Applies changed limits of the settings.
    void settings_changed() { ++cold_round_; }
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
    /// Ranking of a service's backend servers in a region.
    /// @return nullptr if there are none.
    [[nodiscard]] policy::server_ranking* ranking(const service_name& service,
                                                  const region_name& region);
    /// @param id `backend_server::id`.
    /// @return nullptr if the id is unknown.
    [[nodiscard]] server find(std::uint32_t id) const;
    /// @param key `backend_server::key`.
    /// @return nullptr if the key is unknown.
    [[nodiscard]] server find_key(std::uint64_t key) const;
    [[nodiscard]] const absl::flat_hash_map<std::uint64_t, server>& all() const { return by_key_; }
    /// Whether a server may receive requests: not removed, leaving, evacuated or avoided by its
    /// health, and within its cold limit.
    [[nodiscard]] bool available(backend_server& it, steady_time now);
    /// Whether a request for which a server was chosen earlier may still be sent to it: its record
    /// is in force, no other server has its address, and it neither leaves nor is evacuated.
    [[nodiscard]] bool may_receive(const backend_server& it) const;
    /// Whether this daemon has a share of a server's rate limit left; true without a limit.
    [[nodiscard]] bool within_rate(backend_server& it, steady_time now);
    /// Whether this daemon has used up its share of a server's slots. The share is computed anew
    /// after each load report of the other daemons, and at short intervals while a load that the
    /// server has stated is in use.
    [[nodiscard]] bool full(backend_server& it);
    /// Slots of a server that are occupied, as far as this daemon knows.
    [[nodiscard]] double load(const backend_server& it) const;
    /// Age of the newest information in `load`; nothing without any.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> load_age(const backend_server& it) const;
    /// Records the load that a server states in a response to a request of this daemon, before
    /// `remove_load`. The share of its slots is computed anew.
    /// @param sent time at which the request was sent.
    /// @param ran whether the server has run the request.
    /// @return slots by which the estimate differed; nothing if a later response is known.
    std::optional<double> record_load(const server& from, const policy::reported_load& it,
                                      steady_time sent, bool ran);
    /// Whether a server is in its cold period, during which its request rate is limited.
    [[nodiscard]] bool cold(const backend_server& it) const;

    /// Counts a request of this daemon that starts, or that has ended, on a server.
    /// @param slots slots that it occupies.
    /// @param sent time at which it was sent; the same one for both calls.
    void add_load(const server& to, double slots, steady_time sent);
    void remove_load(const server& to, double slots, steady_time sent);
    /// Servers that this daemon has sent requests to which have not ended.
    [[nodiscard]] const absl::flat_hash_set<server>& loaded() const { return loaded_; }
    /// Replaces the loads that the other daemons have reported. The cost depends on the number of
    /// servers with load, not on the number of servers.
    /// @param received time at which the newest report was received.
    /// @return whether the load of a server has decreased.
    bool set_peer_loads(const policy::load_summary& load, steady_time received);

    /// Records what a response of a server says about its rate limit.
    /// @param requests_per_s empty if the response announces no limit.
    /// Applies what a server says of itself in a response: that it leaves, or wants a pause.
    /// @param request id of the request, for the log.
    void record_notice(const server& from, const server_notice& it, const std::string& request);
    /// Time until a server that wants no requests at present takes some again; 0 if it does now.
    [[nodiscard]] std::chrono::nanoseconds back_off_left(const backend_server& it) const;
    /// Ends the pauses that are over.
    /// @return whether any has ended.
    bool end_back_offs();
    void record_rate_limit(const server& from, std::optional<double> requests_per_s);
    /// Applies a rate limit that a server has announced to another daemon, unless a later response
    /// is known.
    void apply_reported_rate_limit(const reported_rate_limit& it);
    /// Ends the rate limits of which no daemon has had a response for long. Must be called
    /// periodically.
    void end_old_rate_limits();
    /// Rate limits of all servers, for reports to other daemons.
    [[nodiscard]] std::vector<reported_rate_limit> rate_limits() const;
    /// Servers with a rate limit.
    [[nodiscard]] const absl::flat_hash_set<server>& rate_limited() const { return rate_limited_; }
    /// Applies the recent requests of the other daemons to servers with a rate limit. The reports
    /// of the other daemons are current at this moment.
    void set_peer_requests(const policy::load_summary& load);

    /// Recomputes the shares of their objects that the servers keep. Must be called several times a
    /// second.
    void update_kept_shares();

    /// Takes an idle connection from the pool, or creates one that connects on first use.
    std::shared_ptr<http_connection> take_connection(const server& to);
    /// Returns a connection to the pool, or closes it if it cannot be reused.
    void return_connection(const server& to, const std::shared_ptr<http_connection>& it);
    /// Closes the idle connections.
    void close_connections(backend_server& it);

    /// Number of connections created since the start of the process.
    [[nodiscard]] std::uint64_t connections_opened() const { return connections_opened_; }
    /// Number of open connections to backend servers, idle or in use.
    [[nodiscard]] std::size_t open_connections() const { return open_connections_; }
    /// Sets the number of connections above which a server without an idle one counts as full.
    void set_max_connections(std::size_t it) { max_connections_ = it; }

private:
    /// Servers of one service.
    struct service_servers {
        std::vector<server> all;
        absl::flat_hash_map<region_name, policy::server_ranking> by_region;
    };

    /// Changes the number of open connections to a server.
    void count_connections(backend_server& to, int change);
    /// Adds an open connection to the pool.
    void keep_idle(const server& to, const std::shared_ptr<http_connection>& it);
    /// Opens a connection ahead of the next request to a distant server that was used recently and
    /// has no idle connection. A request that first has to open one arrives a round trip later.
    void open_spare(const server& to);
    void on_spare_opened(const server& to, bool connected);
    void add_to_indexes(const server& it);
    void remove_from_indexes(const server& it);
    /// Records which of the servers with the address of `it` has started last.
    void update_address_holder(const server& it);
    /// Whether a server is in use apart from its cold limit.
    [[nodiscard]] bool in_use(const backend_server& it, steady_time now) const;
    void log_giving(backend_server& it) const;
    void set_rate_limit(const server& to, double requests_per_s, bool reported);
    /// Merges the operator's and the reported evacuations.
    void update_evacuated();
    /// Starts the cold period of a server that returns from an evacuation.
    void mark_cold(backend_server& it) const;
    /// Applies the current share of the cold rate; computed when a cold server is considered,
    /// because it visits all daemons.
    /// Share of its slots that a server takes again after a pause, so that the requests that have
    /// waited for it do not all reach it in the same moment.
    [[nodiscard]] double return_share(const backend_server& it) const;
    void update_cold_limit(backend_server& it) const;
    [[nodiscard]] policy::peer_load_report peers_of(const backend_server& it) const
    {
        return {it.peer_load, peer_loads_received_};
    }
    /// Rank of this daemon, from 0, in the order of daemons that share a cold server's rate.
    [[nodiscard]] std::size_t cold_limit_rank(const backend_server& it) const;

    asio::io_context& loop_;
    const clock& time_;
    const settings& settings_;
    std::shared_ptr<byte_budget> memory_;
    std::shared_ptr<const routing_config> config_;
    std::vector<daemon_location> daemons_;
    absl::flat_hash_map<backend_server_name, server> servers_;
    absl::flat_hash_map<std::uint64_t, server> by_key_;
    absl::flat_hash_map<std::uint32_t, server> by_id_;
    /// Server that has started last at an address.
    absl::flat_hash_map<std::string, std::weak_ptr<backend_server>> by_address_;
    absl::flat_hash_map<service_name, service_servers> by_service_;
    absl::flat_hash_set<server> loaded_;
    absl::flat_hash_set<server> rate_limited_;
    /// Servers that want a pause.
    absl::flat_hash_set<server> backing_off_;
    /// Servers with a load of other daemons.
    std::vector<server> peer_loaded_;
    steady_time peer_loads_received_;
    /// Number of load reports, which invalidate the shares of slots.
    std::uint64_t limit_round_ = 0;
    /// Last time at which the reports of the other daemons were current.
    std::optional<steady_time> informed_at_;
    /// Number of changes of the daemons or the configuration, which invalidate the cold limits.
    std::uint64_t cold_round_ = 1;
    /// Evacuated failure domains, as low halves of the stable hashes of their names: from the
    /// operator's table, from reports of other daemons, and the union of both.
    absl::flat_hash_set<std::uint32_t> operator_evacuated_;
    absl::flat_hash_set<std::uint32_t> reported_evacuated_;
    absl::flat_hash_set<std::uint32_t> evacuated_;
    std::uint64_t connections_opened_ = 0;
    std::size_t open_connections_ = 0;
    std::size_t max_connections_ = std::numeric_limits<std::size_t>::max();
    absl::InsecureBitGen random_;
};

} // namespace toucan::edge
