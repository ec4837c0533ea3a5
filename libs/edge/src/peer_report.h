#pragma once

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

/// What is known of a daemon, from itself or from others.
struct member_sign {
    member_id member = 0;
    /// Time since it was last heard.
    std::chrono::milliseconds age{0};
    /// Whether it takes callers.
    bool ready = false;

    friend bool operator==(const member_sign&, const member_sign&) = default;
};

/// The newest report of a daemon that a summary contains.
struct report_mark {
    member_id member = 0;
    std::uint32_t number = 0;

    friend bool operator==(const report_mark&, const report_mark&) = default;
};

/// What daemons tell each other about the shared store.
struct store_view {
    /// Newest row version that any daemon saw, for each table.
    std::vector<std::uint64_t> table_versions;
    /// Row version up to which the evacuations are known.
    std::uint64_t evacuated_at = 0;
    /// Evacuated failure domains, as low halves of the stable hashes of their names.
    std::vector<std::uint32_t> evacuated;

    friend bool operator==(const store_view&, const store_view&) = default;
};

enum class report_kind : std::uint8_t {
    /// To the relay: the load of the sender and of those that report to it.
    up,
    /// From a relay to those that report to it: all load that it knows.
    down,
    /// Between the relays of failure domains: the load of one failure domain.
    across,
    /// Asks whether the receiver runs; answered with `down`.
    probe
};

/// Datagram from one daemon to another.
struct peer_report {
    report_kind kind = report_kind::up;
    member_id sender = 0;
    std::int64_t run = 0;
    std::uint32_t number = 0;
    bool ready = false;
    policy::load_summary load;
    std::vector<member_sign> members;
    /// In a report of kind `down`: the reports that its load contains.
    std::vector<report_mark> contained;
    store_view store;

    friend bool operator==(const peer_report&, const peer_report&) = default;
};

std::string encode(const peer_report& it);
/// @return nothing with a last reason if the bytes are not a report.
std::optional<peer_report> decode_peer_report(std::string_view bytes);

} // namespace toucan::edge
