#include "toucan/policy/server_load_estimate.h"

#include <algorithm>

namespace toucan::policy {

namespace {

using seconds = std::chrono::duration<double>;

/// Age of a report when it is received. Reports take 50 to 500 ms, those from the own region less
/// than the others.
constexpr milliseconds report_age{150};
/// Age at which a stated load no longer counts.
constexpr milliseconds load_lifetime{1000};
/// Age at which a stated slowness no longer counts.
constexpr milliseconds slowness_lifetime{800};

} // namespace

void server_load_estimate::add_request(steady_time sent)
{
    sent_.push_back(sent);
}

void server_load_estimate::remove_request(steady_time sent)
{
    if (const auto it = std::find(sent_.begin(), sent_.end(), sent); it != sent_.end()) {
        sent_.erase(it);
    }
}

std::optional<double> server_load_estimate::record(const reported_load& it, steady_time sent,
                                                   bool ran, std::chrono::nanoseconds round_trip,
                                                   steady_time now)
{
    const auto at = now - round_trip / 2;
    if (last_ && at < last_->at) {
        return std::nullopt;
    }
    // Requests sent less than a round trip ago had not arrived when the response left. Of the
    // others, none had ended then: its response would have arrived.
    auto counted = std::count_if(sent_.begin(), sent_.end(),
                                 [&](steady_time other) { return other <= now - round_trip; });
    const double total = static_cast<double>(it.running) + it.waiting;
    const bool listed = sent <= now - round_trip;
    if (ran && it.running == 0) {
        counts_answered_ = false;
    }
    if (listed && (!ran || !counts_answered_)) {
        --counted;
    }
    last_ = statement{std::max(0.0, total - static_cast<double>(counted)), it.slowness, at};
    return last_->others;
}

bool server_load_estimate::stated(steady_time now) const
{
    return last_ && now - last_->at < load_lifetime;
}

double server_load_estimate::others(const peer_load_report& peers, steady_time now) const
{
    if (!stated(now)) {
        return peers.slots;
    }
    const auto age = std::max(seconds(now - last_->at), seconds(0));
    const auto reports_age = seconds(now - peers.received) + seconds(report_age);
    const double aged = age / seconds(load_lifetime);
    const double weight = reports_age / (reports_age + age) * (1 - aged * aged);
    return weight * last_->others + (1 - weight) * peers.slots;
}

double server_load_estimate::slowness(steady_time now) const
{
    if (!last_) {
        return 1;
    }
    const double aged = std::max(0.0, seconds(now - last_->at) / seconds(slowness_lifetime));
    return 1 + (last_->slowness - 1) * std::max(0.0, 1 - aged);
}

std::optional<std::chrono::nanoseconds> server_load_estimate::age(const peer_load_report& peers,
                                                                  steady_time now) const
{
    std::optional<std::chrono::nanoseconds> newest;
    if (peers.received != steady_time()) {
        newest = now - peers.received;
    }
    if (stated(now)) {
        const std::chrono::nanoseconds stated = now - last_->at;
        newest = newest ? std::min(*newest, stated) : stated;
    }
    return newest;
}

} // namespace toucan::policy
