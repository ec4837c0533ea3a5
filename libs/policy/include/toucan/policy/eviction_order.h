#pragma once

#include "toucan/base/clock.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace toucan::policy {

/// Chooses the connection that is closed first when memory or descriptors run out: the one with the
/// largest product of held bytes and time without progress. A connection makes progress when,
/// within a window, it moves at least a share of the bytes that it holds, in either direction.
/// Connections that wait for this process and not for their peer are never chosen. Not thread-safe.
class eviction_order {
public:
    using connection_id = std::uint64_t;

    struct settings {
        std::chrono::milliseconds window{2000};
        /// Share of the held bytes that counts as progress.
        double progress_share = 1.0 / 64;
        /// Connections chosen by one pass over all of them, and the least time between two passes
        /// that do not find enough of them. They bound the cost of a crowd that arrives at once.
        std::size_t batch = 32;
        std::chrono::milliseconds pass_interval{100};
    };

    eviction_order() : eviction_order(settings{}) {}
    explicit eviction_order(const settings& it) : settings_(it) {}

    void add(connection_id id, steady_time now);
    void remove(connection_id id) { entries_.erase(id); }
    /// Records bytes that were received or sent.
    void record_bytes(connection_id id, std::size_t bytes, steady_time now);
    void set_held(connection_id id, std::size_t bytes);
    /// Sets whether the connection waits for its peer: to send the rest of a request or the next
    /// one, or to read a response. The time without progress begins with the wait.
    void set_waits_for_peer(connection_id id, bool waits, steady_time now);
    /// Removes and returns the next connection to close.
    /// @param min_stalled least time without progress.
    /// @return nothing if no connection qualifies.
    std::optional<connection_id> take_next(steady_time now, std::chrono::milliseconds min_stalled);
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::size_t held = 0;
        steady_time window_start;
        std::size_t window_bytes = 0;
        steady_time last_progress;
        bool waits_for_peer = true;
    };

    [[nodiscard]] bool qualifies(connection_id id, steady_time now,
                                 std::chrono::milliseconds min_stalled) const;
    void find_candidates(steady_time now, std::chrono::milliseconds min_stalled);

    settings settings_;
    absl::flat_hash_map<connection_id, entry> entries_;
    /// Result of the last pass; the next connection to close is the last one.
    std::vector<connection_id> candidates_;
    std::optional<steady_time> exhausted_at_;
    std::chrono::milliseconds exhausted_stalled_{0};
};

} // namespace toucan::policy
