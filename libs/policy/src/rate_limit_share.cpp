#include "toucan/policy/rate_limit_share.h"

#include <algorithm>
#include <cmath>

namespace toucan::policy {

namespace {

/// Duration of a round: about the time after which all daemons know of a request.
constexpr milliseconds round_time{250};
/// Share of the remaining requests that all daemons together take in a round. Reports of other
/// regions can be older than a round.
constexpr double round_share = 0.5;
/// Time since a daemon's last request, sent or not allowed, for which it counts as a user of the
/// server.
constexpr milliseconds user_window{1000};
/// Age of the last report from which on the daemon keeps to an equal share.
constexpr milliseconds report_lifetime{1000};
/// Part of its equal share that it then takes, because without reports nobody corrects an excess.
constexpr double unreported_share = 0.7;
/// Requests per window that are always allowed, since only an answer tells that a limit has ended.
constexpr double min_window_requests = 1;

double seconds(std::chrono::nanoseconds span)
{
    return std::chrono::duration<double>(span).count();
}

double allowed_requests(double limit)
{
    return std::max(limit * seconds(rate_limit_share::window), min_window_requests);
}

double count_recent(const std::deque<steady_time>& all, steady_time now)
{
    return static_cast<double>(std::count_if(all.begin(), all.end(), [&](steady_time it) {
        return now - it < rate_limit_share::window;
    }));
}

void forget_old(std::deque<steady_time>& all, steady_time now)
{
    while (!all.empty() && now - all.front() >= rate_limit_share::window) {
        all.pop_front();
    }
}

} // namespace

void rate_limit_share::set_limit(double requests_per_s, steady_time now)
{
    if (!limit_) {
        peer_requests_.raise(allowed_requests(requests_per_s), now, window);
        peer_daemons_.raise(static_cast<double>(daemons_) - 1, now, window);
    }
    limit_ = requests_per_s;
}

void rate_limit_share::clear()
{
    limit_.reset();
    round_began_.reset();
    saved_requests_ = 0;
    kept_share_ = 1;
}

void rate_limit_share::record_peers(const request_count& it, steady_time now)
{
    peer_requests_.raise(it.requests, now, window);
    peer_offers_.raise(it.offers, now, window);
    peer_daemons_.raise(it.daemons, now, window);
    reported_at_ = now;
}

void rate_limit_share::record_offer(steady_time now)
{
    forget_old(offers_, now);
    offers_.push_back(now);
}

request_count rate_limit_share::local(steady_time now) const
{
    const auto used = [&](const std::deque<steady_time>& all) {
        return !all.empty() && now - all.back() < user_window;
    };
    return {count_recent(sent_, now), count_recent(offers_, now),
            used(sent_) || used(offers_) ? 1U : 0U};
}

double rate_limit_share::reported_budget(steady_time now) const
{
    // Since the last report the others have gone on at the rate that is allowed to all.
    const double peers =
        peer_requests_.at(*reported_at_, window) + *limit_ * seconds(now - *reported_at_);
    const double left = allowed_requests(*limit_) - count_recent(sent_, now) - peers;
    return std::max(0.0, round_share * left / (peer_daemons_.at(*reported_at_, window) + 1));
}

double rate_limit_share::unreported_budget(steady_time now, std::chrono::nanoseconds since_last)
{
    const double share =
        unreported_share * allowed_requests(*limit_) / static_cast<double>(daemons_);
    if (count_recent(sent_, now) >= share + 1) {
        return 0;
    }
    // Spread over the window: rounded up in each round, a share below one would be passed.
    const double round_part = share * (seconds(round_time) / seconds(window));
    if (daemons_ > 1 && share < 1) {
        return round_part;
    }
    // Few rounds have a request for an object that the server keeps, so what a round leaves is
    // saved for later ones. One request at most: if all daemons then send it at once, the limit
    // holds, because each has a share of at least one.
    saved_requests_ =
        std::min(saved_requests_ + share * seconds(since_last) / seconds(window), round_part + 1);
    return std::floor(saved_requests_);
}

void rate_limit_share::begin_round(steady_time now, double draw)
{
    const auto since_last = round_began_ ? now - *round_began_ : round_time;
    round_began_ = now;
    const double offers = count_recent(offers_, now) + peer_offers_.at(now, window);
    kept_share_ = std::min(1.0, allowed_requests(*limit_) / std::max(offers, 1.0));
    double budget = 0;
    if (reported_at_ && now - *reported_at_ < report_lifetime) {
        saved_requests_ = 0;
        budget = reported_budget(now);
    }
    else {
        budget = unreported_budget(now, since_last);
    }
    const double whole = std::floor(budget);
    round_remaining_ = static_cast<std::int64_t>(whole) + (draw < budget - whole ? 1 : 0);
}

bool rate_limit_share::allows(steady_time now, double draw)
{
    if (!limit_) {
        return true;
    }
    if (!round_began_ || now - *round_began_ >= round_time) {
        begin_round(now, draw);
    }
    return round_remaining_ > 0;
}

void rate_limit_share::record_request(steady_time now)
{
    forget_old(sent_, now);
    sent_.push_back(now);
    --round_remaining_;
    saved_requests_ = std::max(0.0, saved_requests_ - 1);
}

} // namespace toucan::policy
