#pragma once

#include "toucan/policy/fading_value.h"
#include "toucan/policy/window_counter.h"

#include "toucan/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace toucan::policy {

/// Requests of one workspace at a set of daemons.
struct workspace_usage {
    /// Requests admitted within the quota window.
    double admitted = 0;
    /// Requests asked for per second, admitted or not.
    double asked_per_s = 0;
    /// Number of daemons with such requests.
    std::uint32_t daemons = 0;

    friend bool operator==(const workspace_usage&, const workspace_usage&) = default;
};

/// Bounds that hold for the quotas of all workspaces.
struct quota_terms {
    milliseconds window{5000};
    /// Within any window, the requests of a workspace at all daemons together stay at or below
    /// (rate x window + burst) x (1 + overage) + slack.
    double overage = 0.1;
    double slack = 20;

    friend bool operator==(const quota_terms&, const quota_terms&) = default;
};

/// Rate limit of one workspace over all daemons.
struct quota_limit {
    /// 0 for no limit.
    double rate_per_s = 0;
    double burst = 0;

    friend bool operator==(const quota_limit&, const quota_limit&) = default;
};

/// Daemons of the deployment, as one daemon knows them.
struct quota_members {
    /// All daemons, running or not; at least 1.
    std::size_t known = 1;
    /// Daemons, including this one, whose requests are in the reports.
    std::size_t heard = 1;
    /// Start of this daemon's process.
    steady_time started;

    friend bool operator==(const quota_members&, const quota_members&) = default;
};

/// One daemon's part of the quota of a workspace.
///
/// Each daemon reports how many requests it has admitted within the window and how many it is asked
/// for. What the window has left is handed out in rounds: a daemon admits a fraction of it that
/// corresponds to its part of the demand. The fraction is small enough that the daemons together do
/// not use up the remainder before they know of each other's requests. No part of the quota belongs
/// to a daemon, so it follows the callers as fast as the reports do.
///
/// Answers: a workspace that sends many times its quota, callers of a workspace that are all at one
/// daemon or move to others, daemons that are cut off, killed or started. Not thread-safe.
class workspace_quota {
public:
    /// @param terms must outlive the object, like `members`.
    workspace_quota(const quota_terms& terms, const quota_members& members);

    void set_limit(const quota_limit& it) { limit_ = it; }
    [[nodiscard]] const quota_limit& limit() const { return limit_; }
    /// Applies a report of the requests of all other daemons.
    void record_peers(const workspace_usage& it, steady_time now);
    /// Asks for one request.
    /// @return nothing if it is admitted; otherwise the time after which to ask again.
    /// @param draw uniform in [0, 1); spreads the returned times.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> ask(steady_time now, double draw);
    /// Whether `ask` would admit a request. Counts nothing.
    [[nodiscard]] bool would_admit(steady_time now) const;
    /// Takes back a request that was admitted but never sent to a backend server.
    /// @param admitted_at time at which it was admitted.
    void refund(steady_time admitted_at, steady_time now);
    /// Counts an admitted request from the time at which it is sent to a backend server. Must be
    /// called each time it is sent, because it may have waited since it was admitted.
    /// @param counted_at time at which it was admitted or last sent.
    void record_sent(steady_time counted_at, steady_time now);
    /// This daemon's requests, for reports to the other daemons.
    [[nodiscard]] workspace_usage local(steady_time now) const;
    /// Requests of all daemons within the window as a share of the quota.
    [[nodiscard]] double utilization(steady_time now) const;
    /// Whether the instance holds nothing that a new one would not.
    [[nodiscard]] bool idle(steady_time now) const;

private:
    /// Requests within a window that the limit allows.
    [[nodiscard]] double quota() const;
    /// Largest number of requests within the window for which this daemon plans: the quota with
    /// half of the tolerance; the other half covers the delay of the reports.
    [[nodiscard]] double planned_limit() const;
    [[nodiscard]] bool reported(steady_time now) const;
    /// Requests that the daemons of earlier runs may have admitted, as this daemon's equal share of
    /// the quota. It decreases to zero within a window after the start.
    [[nodiscard]] double assumed_usage(steady_time now) const;
    /// Decreases from 1 to 0 within a window after the start of the daemon.
    [[nodiscard]] double start_share(steady_time now) const;
    /// Requests within the window that an earlier run of this daemon may have admitted beyond its
    /// equal share: what the others have not used. Not reported, because each daemon that has just
    /// started would add the same.
    [[nodiscard]] double unknown_usage(steady_time now) const;
    [[nodiscard]] double local_usage(steady_time now) const;
    [[nodiscard]] double peer_usage(steady_time now) const;
    [[nodiscard]] double local_asked(steady_time now) const;
    /// Requests that this daemon may admit in a round.
    [[nodiscard]] double round_budget(steady_time now) const;
    [[nodiscard]] double reported_budget(steady_time now) const;
    [[nodiscard]] double unreported_budget(steady_time now) const;
    void begin_round(steady_time now, double draw);

    const quota_terms& terms_;
    const quota_members& members_;
    quota_limit limit_;
    window_counter admitted_;
    /// Exponential average of the requests asked for per second.
    double asked_per_s_ = 0;
    steady_time asked_at_;
    /// The same at the time of the last report of the other daemons.
    double reported_asked_per_s_ = 0;
    /// Sums of the other daemons.
    fading_value peer_admitted_;
    fading_value peer_asked_per_s_;
    fading_value peer_daemons_;
    std::optional<steady_time> reported_at_;
    steady_time round_began_;
    double round_admitted_ = 0;
    /// Rounds the budget of the round up or down at random. Drawn once a round, so that the number
    /// of attempts does not matter.
    double round_draw_ = 0;
    steady_time last_asked_;
};

} // namespace toucan::policy
