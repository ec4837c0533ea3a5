#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/metrics.h"
#include "toucan/edge/settings.h"
#include "toucan/edge/workspace.h"
#include "toucan/policy/load_summary.h"
#include "toucan/policy/workspace_quota.h"

#include <absl/container/flat_hash_map.h>
#include <absl/random/random.h>
#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace toucan::edge {

/// What happened to a request of a workspace.
enum class workspace_outcome : std::uint8_t { admitted, over_quota, no_capacity, late };

/// Quotas, counters and events of the workspaces that this daemon serves. A workspace has an entry
/// while it has requests. Not thread-safe; runs on the event loop.
class workspace_limits {
public:
    /// The references must outlive the object.
    workspace_limits(const clock& time, const bounds& limits, metrics& all);
    workspace_limits(const workspace_limits&) = delete;
    workspace_limits& operator=(const workspace_limits&) = delete;

    /// Applies the quotas of a configuration.
    void set_config(const workspace_table& all);
    /// @param known daemons of the deployment, running or not.
    /// @param heard daemons, including this one, whose reports arrive.
    void set_members(std::size_t known, std::size_t heard);
    /// Asks for one request.
    /// @return nothing if it is admitted; otherwise the time after which to ask again.
    [[nodiscard]] std::optional<milliseconds> ask(const workspace& it);
    /// Whether `ask` would admit a request. Counts nothing.
    [[nodiscard]] bool would_admit(const workspace& it);
    /// Takes back a request that was admitted but not sent to a backend server.
    void refund(const workspace& it, steady_time admitted_at);
    /// Counts an admitted request from now on, because it is sent to a backend server.
    /// @param counted_at time at which it was admitted or last sent.
    void record_sent(const workspace& it, steady_time counted_at);
    void count(const workspace& it, workspace_outcome outcome);

    /// Requests of this daemon's callers, for reports to other daemons.
    [[nodiscard]] policy::load_summary usage() const;
    /// Applies the requests of all other daemons.
    void record_peers(const policy::load_summary& all);
    /// Whether a quota is so far used up that the other daemons need frequent reports.
    [[nodiscard]] bool pressure() const { return pressure_; }
    /// Writes events, removes the entries of workspaces without requests. Must be called
    /// periodically.
    void update();
    /// For each entry: share of the quota in use here and at all daemons, and the outcomes.
    [[nodiscard]] nlohmann::json state() const;

private:
    struct counters;

    struct entry {
        entry(const policy::quota_terms& terms, const policy::quota_members& members)
            : quota(terms, members)
        {
        }

        policy::workspace_quota quota;
        std::shared_ptr<counters> outcomes;
        /// Last request that was over the quota; none if the quota does not bind at present.
        std::optional<steady_time> refused_at;
    };

    entry& find(const workspace& it);
    [[nodiscard]] std::shared_ptr<counters> counters_of(const workspace_name& name);

    const clock& time_;
    metrics& metrics_;
    policy::quota_terms terms_;
    policy::quota_members members_;
    absl::flat_hash_map<workspace_name, std::unique_ptr<entry>> entries_;
    /// Counters stay when an entry is removed, because counters must not decrease.
    absl::flat_hash_map<workspace_name, std::shared_ptr<counters>> counters_;
    std::shared_ptr<counters> other_counters_;
    bool pressure_ = false;
    /// Last report of the requests of all other daemons, for entries that are made later.
    policy::load_summary peers_;
    std::optional<steady_time> reported_at_;
    absl::InsecureBitGen random_;
};

} // namespace toucan::edge
