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

/// Another daemon.
struct peer {
    member_record member;
    steady_time added;
    /// When it was last heard, by this daemon or by another one.
    std::optional<steady_time> heard;
    /// Whether it takes callers.
    bool ready = true;
    /// Run and number of its last datagram.
    std::int64_t run = 0;
    std::uint32_t number = 0;
};

/// The other daemons, and which of them run.
class peer_table {
public:
    explicit peer_table(const clock& time) : time_(time) {}

    /// @return whether the daemon is new or has restarted.
    bool add(const member_record& it);
    void remove(const std::string& name);
    [[nodiscard]] peer* find(member_id id);
    [[nodiscard]] const peer* find(member_id id) const;
    /// Takes what another daemon knows of one.
    void sign(const member_sign& it);
    /// @return whether it became ready or ceased to be.
    bool heard(peer& from, bool ready);

    /// It was heard lately, or has only just been added.
    [[nodiscard]] bool running(const peer& it) const;
    /// It runs and takes callers.
    [[nodiscard]] bool alive(const std::string& name) const;
    [[nodiscard]] bool hears_anyone() const;
    /// What other daemons need to know of those that were heard lately.
    [[nodiscard]] std::vector<member_sign> signs() const;
    [[nodiscard]] member_sign sign_of(member_id id, const peer& it) const;
    /// Daemons of each failure domain, in the order in which they may be its relay.
    using domain_order = std::map<failure_domain_name, std::vector<policy::relay_candidate>>;
    [[nodiscard]] const domain_order& domains() const { return domains_; }
    /// Names of daemons that were not heard for a time.
    [[nodiscard]] std::vector<std::string> silent_for(milliseconds time) const;

private:
    [[nodiscard]] bool heard_lately(const peer& it) const;

    const clock& time_;
    absl::flat_hash_map<member_id, peer> peers_;
    domain_order domains_;
};

} // namespace toucan::edge
