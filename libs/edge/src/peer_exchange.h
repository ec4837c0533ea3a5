#pragma once

#include "asio.h"
#include "fleet.h"
#include "peer_report.h"
#include "peer_table.h"
#include "table_state.h"

#include "toucan/base/clock.h"
#include "toucan/edge/records.h"
#include "toucan/edge/settings.h"
#include "toucan/policy/demand_meter.h"
#include "toucan/policy/load_summary.h"
#include "toucan/policy/relay_choice.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace toucan::edge {

/// Exchanges the load of backend servers and the demand per service with the other daemons, over
/// UDP.
///
/// The daemons of a failure domain report to one of them, their relay, which adds up the reports.
/// The relays of the failure domains exchange these sums, and each sends the total load back to the
/// daemons that report to it. The traffic of one daemon therefore does not grow with the number of
/// daemons, and one datagram per failure domain crosses a region border instead of one per pair of
/// daemons. There is no consensus: a load that is not reported again expires, so a lost datagram or
/// a failed daemon has no lasting effect.
class peer_exchange {
public:
    struct events {
        /// The load of other daemons has decreased on at least one backend server.
        std::function<void()> peer_load_decreased;
        /// Whether this daemon accepts requests of callers.
        std::function<bool()> ready;
        /// Demand of this daemon's callers for each service.
        std::function<std::vector<policy::service_demand>()> demands;
        /// State of this daemon's copy of each table of the shared store, the operator's first.
        std::function<std::vector<table_state>()> tables;
        /// Whether the load of this region is so high that other regions need frequent reports.
        std::function<bool()> region_overloaded;
        /// Requests of this daemon's callers by workspace with a quota; may be empty.
        std::function<policy::load_summary()> workspaces = [] {
            return policy::load_summary{};
        };
        /// Whether a quota is so far used up that the other daemons need frequent reports of it.
        std::function<bool()> quota_pressure = [] {
            return false;
        };
        /// Applies the requests of all other daemons by workspace.
        std::function<void(const policy::load_summary&)> peer_workspaces =
            [](const policy::load_summary&) {
            };
    };

    /// @param daemon_settings settings of this daemon; must outlive this object, like `fleet`.
    /// @param run start of this run, Unix milliseconds.
    peer_exchange(asio::io_context& loop, const clock& time, const settings& daemon_settings,
                  fleet& fleet, std::int64_t run, events hooks);

    /// Binds the UDP socket and starts the periodic reports.
    /// @return false with a last reason if the address cannot be bound.
    bool start();
    /// Adds or updates a daemon. A record of this daemon itself is ignored.
    /// @param assumed_ready see `peer_table::add`.
    void add(const member_record& it, bool assumed_ready = true);
    void remove(const std::string& name);
    /// Sends reports at once, for example when this daemon is about to stop.
    void report_now() { send_reports(true); }

    [[nodiscard]] const peer_table& peers() const { return peers_; }
    /// Newest row of a table that any daemon has reported, and its last confirmation.
    /// @param table index of the table in `events::tables`.
    [[nodiscard]] table_state table(std::size_t table) const;
    /// Evacuated failure domains as reported by daemons whose operator's table is newer than that
    /// of this daemon, as low halves of the stable hashes of their names; empty if none is newer.
    [[nodiscard]] std::vector<std::uint32_t> newer_evacuations() const;
    /// Address of the relay to which this daemon reports, if the relay's last report has not
    /// expired.
    [[nodiscard]] std::optional<vm_address> relay_address() const;
    /// Addresses of the relays of other failure domains, those of this region first; empty unless
    /// this daemon is a relay.
    [[nodiscard]] std::vector<vm_address> other_relay_addresses() const;
    /// Whether this daemon is a relay and has the lowest id of the relays of its region.
    [[nodiscard]] bool first_relay_in_region() const;
    /// Whether this daemon is a relay that hears no other failure domain.
    [[nodiscard]] bool only_relay_heard() const { return !relay_ && other_domains_.empty(); }
    /// Number of datagrams sent since the start of the process.
    [[nodiscard]] std::uint64_t datagrams_sent() const { return datagrams_sent_; }
    /// Whether this daemon is a relay, receives reports of other relays and has the lowest id of
    /// all relays.
    [[nodiscard]] bool first_relay_overall() const;
    /// Demand of a region's callers for a service at all other daemons, in slots.
    /// @param service low half of the stable hash of the service's name.
    [[nodiscard]] double demand(const region_name& region, std::uint32_t service) const;

private:
    /// Load in the last report of another daemon.
    struct contribution {
        policy::load_summary load;
        steady_time received;
        std::uint32_t number = 0;
    };
    using contributions = absl::flat_hash_map<member_id, contribution>;

    /// Starts the next asynchronous receive.
    void receive();
    void handle_datagram(std::string_view bytes);
    void handle_up(const peer_report& it);
    void handle_down(const peer_report& it);
    void handle_across(const peer_report& it, std::string_view bytes);
    void tick();
    void remove_expired();
    void choose_relay();
    void send_reports(bool include_other_regions);
    void send_probes();
    void send_down(const policy::load_summary& all);
    void send_across(const policy::load_summary& sum, bool include_other_regions);
    /// Receivers of an `across` report: the known relays of a failure domain or, if none is known,
    /// one of its daemons.
    [[nodiscard]] std::vector<member_id>
    receivers_in(const failure_domain_name& domain,
                 const std::vector<policy::relay_candidate>& candidates);
    void send(member_id to, const std::string& bytes);
    /// Makes a report with the next number and the current store view, without load.
    [[nodiscard]] peer_report new_report(report_kind kind);
    [[nodiscard]] std::vector<member_status> reporter_statuses();
    /// Takes over what a report shows that is newer than what is known.
    void merge_store_view(const store_view& it);
    void merge_tables(const std::vector<table_state>& it);
    void merge_evacuations(store_position at, const std::vector<std::uint32_t>& evacuated);
    /// Newest state of the store of all daemons, this one included.
    [[nodiscard]] store_view newest_store_view();
    /// Load and demand of this daemon alone.
    [[nodiscard]] policy::load_summary local_load() const;
    /// Load of all other daemons that do not report to this one.
    [[nodiscard]] policy::load_summary non_reporter_load() const;
    [[nodiscard]] static policy::load_summary sum_of(const contributions& all);
    /// Whether the reports of other daemons tell their load, or there are no other daemons.
    [[nodiscard]] bool informed_of_peers() const;
    /// Time at which the newest load in effect was received; the epoch if there is none.
    [[nodiscard]] steady_time newest_load_received() const;
    /// Writes the load of other daemons to the backend servers of the fleet.
    void update_peer_loads();
    /// Whether this tick's reports include the requests of workspaces.
    [[nodiscard]] bool workspaces_due() const;
    /// Forgets the requests of workspaces that a former relay of a failure domain has reported,
    /// once it is silent and another relay reports for the domain.
    /// @param current relay that has just reported.
    void forget_replaced_relay(member_id current);
    /// Makes the contribution of a report. A report without workspaces leaves those of the last one
    /// in effect.
    [[nodiscard]] contribution make_contribution(const peer_report& it,
                                                 const contributions& previous);

    const clock& time_;
    const settings& settings_;
    member_id local_id_;
    fleet& fleet_;
    std::int64_t run_;
    events hooks_;
    udp::socket socket_;
    asio::steady_timer timer_;
    udp::endpoint sender_;
    std::string buf_;
    peer_table peers_;
    policy::relay_choice relays_;
    /// Relay to which this daemon reports; none if this daemon is itself a relay.
    std::optional<member_id> relay_;
    /// Loads of the daemons that report to this one.
    contributions reporters_;
    /// Loads of the other failure domains by the id of their relay; empty unless this daemon is a
    /// relay.
    contributions other_domains_;
    /// Load in the last report of this daemon's relay, less the load that this daemon had reported.
    std::optional<contribution> relay_load_;
    /// Numbers and loads of the last reports to the relay, oldest first.
    std::deque<std::pair<std::uint32_t, policy::load_summary>> sent_reports_;
    /// Load and demand of all other daemons.
    policy::load_summary peer_load_;
    /// Newest state of each table of all daemons.
    std::vector<table_state> tables_;
    /// Row of the newest evacuations of all daemons.
    store_position evacuated_at_;
    std::vector<std::uint32_t> evacuated_;
    /// Requests of this daemon's callers by workspace, as last reported.
    policy::load_summary local_workspaces_;
    /// The workspaces in the last report to the relay that has them.
    policy::load_summary sent_workspaces_;
    /// The relay has changed since the last report.
    bool relay_changed_ = false;
    /// A report with workspaces was received since they were last applied.
    bool workspaces_received_ = false;
    /// Number of the last datagram of this run.
    std::uint32_t last_number_ = 0;
    std::uint64_t ticks_ = 0;
    std::uint64_t datagrams_sent_ = 0;
};

} // namespace toucan::edge
