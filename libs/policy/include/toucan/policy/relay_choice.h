#pragma once

#include "toucan/base/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace toucan::policy {

/// A daemon that may collect the loads of its failure domain.
struct relay_candidate {
    std::uint64_t id = 0;
    /// Processor share of its VM, in cores.
    double capacity = 0;

    friend bool operator==(const relay_candidate&, const relay_candidate&) = default;
};

/// Order of the candidates: the strongest VM first, so that all daemons choose the same one.
bool precedes(const relay_candidate& lhs, const relay_candidate& rhs);

/// Chooses the daemon of the own failure domain to which a daemon reports its load. A daemon only
/// reports to one that precedes it, so reports never go in a circle, whatever each daemon believes
/// of the others; one that finds no live daemon before it collects the reports itself.
class relay_choice {
public:
    explicit relay_choice(const relay_candidate& own) : own_(own) {}

    /// Adds a daemon of the own failure domain, or one that has restarted.
    void add(const relay_candidate& it);
    void remove(std::uint64_t id);
    /// A report or probe was sent to a daemon.
    void asked(std::uint64_t id, steady_time now);
    void heard(std::uint64_t id, steady_time now);

    /// @return nothing if this daemon collects the reports itself.
    [[nodiscard]] std::optional<std::uint64_t> relay(steady_time now) const;
    /// Daemons to which a probe is due, because they might be the better choice.
    [[nodiscard]] std::vector<std::uint64_t> due_probes(steady_time now) const;

private:
    struct candidate {
        relay_candidate place;
        std::optional<steady_time> heard;
        /// First message since it was last heard, and the last one.
        std::optional<steady_time> unanswered_since;
        std::optional<steady_time> asked;
    };

    [[nodiscard]] candidate* find(std::uint64_t id);
    /// It has not been silent for long when it was asked.
    [[nodiscard]] static bool possible(const candidate& it, steady_time now);
    /// It was heard lately.
    [[nodiscard]] static bool confirmed(const candidate& it, steady_time now);

    relay_candidate own_;
    /// Those that precede this daemon, in order.
    std::vector<candidate> candidates_;
};

} // namespace toucan::policy
