#pragma once

#include "toucan/edge/store_position.h"
#include "toucan/policy/load_summary.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::edge {

/// Identity of a daemon in datagrams: the stable hash of its name.
using member_id = std::uint64_t;

/// Liveness and readiness of a daemon as the sender knows them, directly or from other daemons.
struct member_status {
    member_id member = 0;
    /// Time since the last report of the daemon.
    std::chrono::milliseconds age{0};
    /// Whether the daemon accepts requests of callers.
    bool ready = false;

    friend bool operator==(const member_status&, const member_status&) = default;
};

/// Identifies the newest report of a daemon that is included in a relay's total. The daemon
/// subtracts the load of this report from the total.
struct report_mark {
    member_id member = 0;
    /// `peer_report::number` of the report.
    std::uint32_t number = 0;

    friend bool operator==(const report_mark&, const report_mark&) = default;
};

/// Rate limit that a backend server has announced in a response to any daemon.
struct reported_rate_limit {
    /// Low half of the stable hash of the server's name.
    std::uint32_t backend = 0;
    double requests_per_s = 0;
    /// Time since that response.
    std::chrono::milliseconds age{0};

    friend bool operator==(const reported_rate_limit&, const reported_rate_limit&) = default;
};

/// Newest row of a table of the shared store that any daemon has received, as the sender knows it.
struct table_report {
    std::uint64_t newest_row = 0;
    /// `table_state::store_time`.
    std::chrono::milliseconds store_time{0};
    /// Era of the store to which `newest_row` belongs.
    std::uint64_t era = 0;

    friend bool operator==(const table_report&, const table_report&) = default;
};

/// Versions and evacuations read from the shared store, as exchanged between daemons.
struct store_view {
    /// For each table, the operator's first.
    std::vector<table_report> tables;
    /// Newest row of the operator's table that `evacuated` reflects.
    store_position evacuated_at;
    /// Evacuated failure domains, as low halves of the stable hashes of their names.
    std::vector<std::uint32_t> evacuated;

    friend bool operator==(const store_view&, const store_view&) = default;
};

enum class report_kind : std::uint8_t {
    /// From a daemon to its relay: load of the sender and of the daemons that report to it.
    up,
    /// From a relay to the daemons that report to it: total load of all known daemons.
    down,
    /// Between the relays of failure domains: load of the sender's failure domain.
    across,
    /// Liveness check; the receiver answers with an empty `down` report.
    probe
};

/// Datagram from one daemon to another.
struct peer_report {
    report_kind kind = report_kind::up;
    member_id sender = 0;
    /// Start of the sender's run, Unix milliseconds.
    std::int64_t run = 0;
    /// Increases with each datagram of a run; a receiver drops one that is not higher than the
    /// last.
    std::uint32_t number = 0;
    /// Whether the sender accepts requests of callers.
    bool ready = false;
    policy::load_summary load;
    /// Whether `load` includes the requests of workspaces. They are not in every report.
    bool has_workspaces = false;
    std::vector<member_status> members;
    /// In a `down` report: the newest report of each daemon that `load` includes.
    std::vector<report_mark> contained;
    std::vector<reported_rate_limit> rate_limits;
    store_view store;

    friend bool operator==(const peer_report&, const peer_report&) = default;
};

/// @return the report as a packed Cap'n Proto message.
std::string encode(const peer_report& it);
/// @return nothing with a last reason if the bytes are not a valid report.
std::optional<peer_report> decode_peer_report(std::string_view bytes);

} // namespace toucan::edge
