#pragma once

#include "peer_report.h"

#include "toucan/base/clock.h"
#include "toucan/edge/records.h"
#include "toucan/policy/relay_choice.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucan::edge {

/// State of another daemon as this daemon knows it.
struct peer {
    member_record member;
    /// When this run of the daemon was added to the table.
    steady_time added;
    /// Time of the daemon's last report, to this daemon or to another one; empty if there is none.
    std::optional<steady_time> last_seen;
    /// Whether the daemon accepts requests of callers.
    bool ready = true;
    /// Run and number of the last datagram that this daemon received from it.
    std::int64_t run = 0;
    std::uint32_t number = 0;
    /// Run before the present one; 0 if unknown. Its datagrams may still arrive, and its number is
    /// higher if the wall clock of the VM was set back in between.
    std::int64_t previous_run = 0;

    /// Whether a datagram is newer than those received before.
    [[nodiscard]] bool is_newer(std::int64_t datagram_run, std::uint32_t datagram_number) const;
};

/// The other daemons and their liveness.
class peer_table {
public:
    explicit peer_table(const clock& time) : time_(time) {}

    /// Adds a daemon or updates its record.
    /// @param assumed_ready whether a new daemon counts as ready until its first report. A daemon
    /// writes its row before it is ready.
    /// @return whether the daemon is new or has restarted.
    bool add(const member_record& it, bool assumed_ready);
    void remove(const std::string& name);
    /// @return nullptr if the daemon is unknown; otherwise valid until the next `add` or `remove`.
    [[nodiscard]] peer* find(member_id id);
    [[nodiscard]] const peer* find(member_id id) const;
    /// Applies a status received from another daemon if it is newer than the known one.
    void merge_status(const member_status& it);
    /// Records a datagram received from a daemon itself.
    /// @return whether the readiness of the daemon has changed.
    bool record_report(peer& from, bool ready);

    /// Whether the last report of a daemon, or its addition if it has not reported yet, is within
    /// the liveness timeout.
    [[nodiscard]] bool running(const peer& it) const;
    /// Whether a daemon is known, running and ready.
    [[nodiscard]] bool alive(const std::string& name) const;
    /// Whether a daemon is known, ready and was running when this daemon last received a report of
    /// any daemon, or no report has ever been received.
    [[nodiscard]] bool alive_at_last_contact(const std::string& name) const;
    /// Whether any daemon has reported within the liveness timeout.
    [[nodiscard]] bool has_live_peer() const;
    /// Status of each daemon that has reported within the liveness timeout.
    [[nodiscard]] std::vector<member_status> recent_statuses() const;
    [[nodiscard]] member_status status_of(member_id id, const peer& it) const;
    [[nodiscard]] bool empty() const { return peers_.empty(); }
    /// Daemons of each failure domain, in the order of preference as its relay.
    using domain_order = std::map<failure_domain_name, std::vector<policy::relay_candidate>>;
    [[nodiscard]] const domain_order& domains() const { return domains_; }
    [[nodiscard]] std::size_t count_in(const failure_domain_name& domain) const;
    /// Names of the daemons whose last report, or addition if there is none, is older than a limit.
    [[nodiscard]] std::vector<std::string> silent_for(milliseconds limit) const;

private:
    [[nodiscard]] bool seen_recently(const peer& it) const;

    const clock& time_;
    absl::flat_hash_map<member_id, peer> peers_;
    domain_order domains_;
    /// When a report of any daemon was last received; empty if there was none.
    std::optional<steady_time> last_contact_;
};

} // namespace toucan::edge
