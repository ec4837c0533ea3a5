#include "toucan/policy/workspace_quota.h"

#include <algorithm>
#include <cmath>

namespace toucan::policy {

namespace {

/// Duration of a round.
constexpr milliseconds round_time{250};
/// Share of the remaining requests that all daemons together admit in a round. A report of another
/// region can be two rounds old.
constexpr double round_share = 0.25;
/// Part of the remainder that is divided equally, so that a daemon whose callers have just arrived
/// can admit some of their requests before its demand is known to the others.
constexpr double equal_part = 0.2;
/// Ratio by which a daemon's part of the demand may exceed the one that it last reported.
constexpr double max_demand_growth = 2;
/// Time constant of the average of the requests asked for, and the average after one request.
constexpr std::chrono::duration<double> averaging_time{0.5};
constexpr double asked_per_s_of_one = 1 / averaging_time.count();
/// Time for which the remainder must cover the demand to count as ample.
constexpr std::chrono::duration<double> ample_time{1.5};
/// Age of the last report from which on the daemon keeps to an equal share.
constexpr milliseconds report_lifetime{900};
/// Time over which the reported demand of the others decreases when a report lacks it. The first
/// reports of a new relay do not have all daemons.
constexpr milliseconds demand_memory{1000};
/// Rate of requests below which a workspace counts as unused by this daemon.
constexpr double min_asked_per_s = 0.05;

double seconds(std::chrono::nanoseconds span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

workspace_quota::workspace_quota(const quota_terms& terms, const quota_members& members)
    : terms_(terms), members_(members), admitted_(terms.window)
{
}

void workspace_quota::record_peers(const workspace_usage& it, steady_time now)
{
    peer_admitted_.raise(it.admitted, now, terms_.window);
    peer_asked_per_s_.raise(it.asked_per_s, now, demand_memory);
    peer_daemons_.raise(it.daemons, now, demand_memory);
    reported_asked_per_s_ = local_asked(now);
    reported_at_ = now;
}

double workspace_quota::quota() const
{
    return limit_.rate_per_s * seconds(terms_.window) + limit_.burst;
}

double workspace_quota::planned_limit() const
{
    const double heard =
        std::min(1.0, static_cast<double>(members_.heard) / static_cast<double>(members_.known));
    return heard * (quota() * (1 + terms_.overage / 2) + terms_.slack / 2);
}

bool workspace_quota::reported(steady_time now) const
{
    return members_.known <= 1 || (reported_at_ && now - *reported_at_ < report_lifetime);
}

double workspace_quota::start_share(steady_time now) const
{
    return std::max(0.0, 1 - seconds(now - members_.started) / seconds(terms_.window));
}

double workspace_quota::assumed_usage(steady_time now) const
{
    return start_share(now) * quota() / static_cast<double>(members_.known);
}

double workspace_quota::unknown_usage(steady_time now) const
{
    const double unknown =
        quota() - quota() / static_cast<double>(members_.known) - peer_usage(now);
    return start_share(now) * std::max(0.0, unknown);
}

double workspace_quota::local_usage(steady_time now) const
{
    return static_cast<double>(admitted_.count(now)) + assumed_usage(now);
}

double workspace_quota::peer_usage(steady_time now) const
{
    const double since_report = reported_at_ ? seconds(now - *reported_at_) : 0;
    // Since the report the others have gone on at the rate that they are asked for.
    const double asked = peer_asked_per_s_.at(now, demand_memory);
    const double rate = std::min(asked, limit_.rate_per_s);
    return peer_admitted_.at(now, terms_.window) + rate * since_report;
}

double workspace_quota::local_asked(steady_time now) const
{
    return asked_per_s_ * std::exp(-seconds(now - asked_at_) / averaging_time.count());
}

double workspace_quota::reported_budget(steady_time now) const
{
    const double left = planned_limit() - local_usage(now) - peer_usage(now) - unknown_usage(now);
    if (left <= 0) {
        return 0;
    }
    const double users = peer_daemons_.at(now, demand_memory) + 1;
    const double peers_asked = peer_asked_per_s_.at(now, demand_memory);
    const auto part_of = [&](double asked) {
        return asked / std::max(asked + peers_asked, min_asked_per_s);
    };
    // Without a bound, a surge at all daemons would look to each of them like a part of its own
    // that has grown.
    const double largest_part =
        max_demand_growth * part_of(reported_asked_per_s_) + part_of(asked_per_s_of_one);
    const double asked = local_asked(now);
    const double part =
        (1 - equal_part) * std::min(part_of(asked), largest_part) + equal_part / users;
    // Where there is one request for each user, none is refused for a fraction of it.
    const double one = left >= users ? 1 : 0;
    // Where the demand is small beside the remainder, a daemon may use more than its part, so that
    // a few requests of one caller in quick succession are not refused.
    const double demand = asked + peers_asked;
    const double ample = left >= ample_time.count() * demand ? left / (2 * users) : 0;
    return std::max({round_share * left * part, one, ample});
}

double workspace_quota::unreported_budget(steady_time now) const
{
    const double share = (quota() + terms_.slack / 2) / static_cast<double>(members_.known);
    // The requests of this round are compared with the budget of the round.
    const double in_round = now - round_began_ < round_time ? round_admitted_ : 0;
    return std::max(0.0, share - local_usage(now) + in_round);
}

double workspace_quota::round_budget(steady_time now) const
{
    return reported(now) ? reported_budget(now) : unreported_budget(now);
}

void workspace_quota::begin_round(steady_time now, double draw)
{
    if (now - round_began_ >= round_time) {
        round_began_ = now;
        round_admitted_ = 0;
        round_draw_ = draw;
    }
}

bool workspace_quota::would_admit(steady_time now) const
{
    if (limit_.rate_per_s <= 0) {
        return true;
    }
    const double admitted = now - round_began_ >= round_time ? 0 : round_admitted_;
    return round_budget(now) > admitted + round_draw_;
}

std::optional<std::chrono::nanoseconds> workspace_quota::ask(steady_time now, double draw)
{
    asked_per_s_ = local_asked(now) + asked_per_s_of_one;
    asked_at_ = now;
    last_asked_ = now;
    if (limit_.rate_per_s <= 0) {
        admitted_.add(now);
        return std::nullopt;
    }
    begin_round(now, draw);
    if (round_budget(now) > round_admitted_ + round_draw_) {
        admitted_.add(now);
        ++round_admitted_;
        return std::nullopt;
    }
    const double excess = local_usage(now) + peer_usage(now) - planned_limit();
    const auto next_round = round_began_ + round_time - now;
    if (excess < 0) {
        return next_round + std::chrono::duration_cast<std::chrono::nanoseconds>(draw * round_time);
    }
    const double per_s = std::max(limit_.rate_per_s, 1e-3);
    const auto free = std::chrono::duration<double>((excess + 1) / per_s);
    return next_round +
           std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::min<std::chrono::duration<double>>(free, terms_.window) * (0.5 + draw / 2));
}

void workspace_quota::refund(steady_time admitted_at, steady_time now)
{
    admitted_.remove(admitted_at, now);
    if (admitted_at >= round_began_ && round_admitted_ > 0) {
        --round_admitted_;
    }
}

void workspace_quota::record_sent(steady_time counted_at, steady_time now)
{
    admitted_.remove(counted_at, now);
    admitted_.add(now);
}

workspace_usage workspace_quota::local(steady_time now) const
{
    const double asked = local_asked(now);
    const double admitted = local_usage(now);
    return {admitted, asked, asked >= min_asked_per_s ? 1U : 0U};
}

double workspace_quota::utilization(steady_time now) const
{
    return quota() <= 0 ? 0 : (local_usage(now) + peer_usage(now)) / quota();
}

bool workspace_quota::idle(steady_time now) const
{
    return now - last_asked_ > 2 * terms_.window;
}

} // namespace toucan::policy
