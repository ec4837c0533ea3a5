#pragma once

#include "asio.h"
#include "fleet.h"
#include "peer_report.h"
#include "peer_table.h"

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

/// Tells the other daemons which requests are in progress where, and learns it from them.
///
/// The daemons of a failure domain report to one of them, their relay, which adds the reports up.
/// The relays of the failure domains exchange their sums, and each sends back what all daemons
/// together do. So what a daemon sends does not grow with the number of daemons, and one datagram
/// for each failure domain crosses a region's border instead of one for each pair of daemons.
/// Nothing is agreed: what is not heard again soon is forgotten, so a lost datagram or daemon does
/// no lasting harm.
class peer_exchange {
public:
    struct events {
        /// Loads of other daemons have changed.
        std::function<void()> loads_changed;
        /// Whether this daemon takes callers.
        std::function<bool()> ready;
        /// What this daemon's callers ask of each service.
        std::function<std::vector<policy::service_demand>()> demands;
        /// Newest row version that this daemon saw, for each table of the shared store; that of
        /// the operator comes first.
        std::function<std::vector<std::uint64_t>()> table_versions;
        /// Whether the region is so full that daemons of other regions need to know its load well.
        std::function<bool()> full;
    };

    peer_exchange(asio::io_context& loop, const clock& time, const settings& own, fleet& fleet,
                  std::int64_t run, events hooks);

    /// @return false with a last reason if the address cannot be bound.
    bool start();
    void add(const member_record& it);
    void remove(const std::string& name);
    /// Tells the others at once, for example that this daemon is leaving.
    void report_now() { send_reports(true); }

    [[nodiscard]] const peer_table& peers() const { return peers_; }
    /// Newest row version that any daemon saw, for a table.
    [[nodiscard]] std::uint64_t newest_row(std::size_t table) const;
    /// Evacuated failure domains as of a newer row than this daemon has; empty if there is none.
    [[nodiscard]] std::vector<std::uint32_t> missed_evacuations() const;
    /// Address of the relay to which this daemon reports, if it answers.
    [[nodiscard]] std::optional<vm_address> relay_address() const;
    /// Whether this daemon is the first of the relays of its region.
    [[nodiscard]] bool first_in_region() const;
    [[nodiscard]] std::uint64_t datagrams_sent() const { return datagrams_sent_; }
    /// Whether this daemon is the first of all relays, and hears others.
    [[nodiscard]] bool first_of_all() const;
    /// What the callers of other daemons of a region ask of a service.
    [[nodiscard]] double demand(const region_name& region, std::uint32_t service) const;

private:
    /// Load that another daemon reported.
    struct contribution {
        policy::load_summary load;
        steady_time heard;
        std::uint32_t number = 0;
    };
    using contributions = absl::flat_hash_map<member_id, contribution>;

    void receive();
    void take(std::string_view bytes);
    void take_up(const peer_report& it);
    void take_down(const peer_report& it);
    void take_across(const peer_report& it, std::string_view bytes);
    void tick();
    void forget_old();
    void choose_relay();
    void send_reports(bool far_too);
    void send_probes();
    void send_down(const policy::load_summary& all);
    void send_across(const policy::load_summary& sum, bool far_too);
    [[nodiscard]] std::vector<member_id>
    receivers_in(const failure_domain_name& domain,
                 const std::vector<policy::relay_candidate>& candidates);
    void send(member_id to, const std::string& bytes);
    [[nodiscard]] peer_report new_report(report_kind kind);
    [[nodiscard]] std::vector<member_sign> reporter_signs();
    void learn_store_view(const store_view& it);
    [[nodiscard]] store_view own_store_view() const;
    [[nodiscard]] policy::load_summary own_load() const;
    /// Load of all daemons that do not report to this one.
    [[nodiscard]] policy::load_summary load_of_others() const;
    [[nodiscard]] static policy::load_summary sum_of(const contributions& all);
    void recount_loads();

    const clock& time_;
    const settings& own_;
    member_id own_id_;
    fleet& fleet_;
    std::int64_t run_;
    events hooks_;
    udp::socket socket_;
    asio::steady_timer timer_;
    udp::endpoint sender_;
    std::string buf_;
    peer_table peers_;
    policy::relay_choice relays_;
    std::optional<member_id> relay_;
    /// From the daemons that report to this one.
    contributions reporters_;
    /// From the relays of other failure domains, if this daemon is a relay that reports to none.
    contributions other_domains_;
    /// From the own relay, without what this daemon reported to it.
    std::optional<contribution> from_relay_;
    /// Load that was last reported to the relay, with the number of each report.
    std::deque<std::pair<std::uint32_t, policy::load_summary>> reported_;
    /// Load of all other daemons.
    policy::load_summary others_;
    store_view known_;
    std::uint32_t number_ = 0;
    std::uint64_t ticks_ = 0;
    std::uint64_t datagrams_sent_ = 0;
};

} // namespace toucan::edge
