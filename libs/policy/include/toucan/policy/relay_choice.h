#pragma once

#include "toucan/base/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace toucan::policy {

/// A daemon that can be the relay of its failure domain, that is, the daemon that aggregates the
/// load reports of the others.
struct relay_candidate {
    std::uint64_t id = 0;
    /// CPU capacity of its VM, in cores.
    double capacity = 0;

    friend bool operator==(const relay_candidate&, const relay_candidate&) = default;
};

/// Order of the candidates: highest capacity first, then lowest id, so that all daemons choose the
/// same one.
bool precedes(const relay_candidate& lhs, const relay_candidate& rhs);

/// Chooses the relay to which a daemon reports its load. A daemon reports only to a daemon that
/// precedes it, so reports never form a cycle, even if daemons disagree about which others are
/// alive. A daemon that finds no live daemon before it aggregates the reports itself.
class relay_choice {
public:
    explicit relay_choice(const relay_candidate& self) : self_(self) {}

    /// Adds a daemon of the same failure domain, or resets the state of one that has restarted.
    void add(const relay_candidate& it);
    /// Removes a daemon.
    void remove(std::uint64_t id);
    /// Records that a report or probe was sent to a daemon.
    void record_sent(std::uint64_t id, steady_time now);
    /// Records that a reply was received from a daemon.
    void record_reply(std::uint64_t id, steady_time now);

    /// @return the relay to report to, or nothing if this daemon is the relay.
    [[nodiscard]] std::optional<std::uint64_t> relay(steady_time now) const;
    /// Daemons to probe now, because they precede the current relay and may be alive.
    [[nodiscard]] std::vector<std::uint64_t> due_probes(steady_time now) const;

private:
    /// Reachability of one daemon.
    struct candidate {
        relay_candidate daemon;
        std::optional<steady_time> last_reply;
        /// Time of the first message sent since the last reply; empty if there is none.
        std::optional<steady_time> unanswered_since;
        std::optional<steady_time> last_message;
    };

    [[nodiscard]] candidate* find(std::uint64_t id);
    /// False if the daemon has left a message unanswered for longer than the reply timeout.
    [[nodiscard]] static bool reachable(const candidate& it, steady_time now);
    /// Whether the daemon is reachable and its last reply is recent.
    [[nodiscard]] static bool recently_replied(const candidate& it, steady_time now);

    /// This daemon.
    relay_candidate self_;
    /// Daemons that precede this one, in order.
    std::vector<candidate> candidates_;
};

} // namespace toucan::policy
