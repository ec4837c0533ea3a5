#include "workspace_limits.h"

#include "event_log.h"

#include "toucan/base/stable_hash.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace toucan::edge {

namespace {

/// Workspaces with metrics of their own; the others are counted together.
constexpr std::size_t max_named_workspaces = 256;
/// Workspaces in one report. A report must fit a datagram; a workspace takes up to 14 bytes.
constexpr std::size_t max_reported_workspaces = 1024;
/// Utilization of a quota above which the daemons report to each other more often.
constexpr double pressure_utilization = 0.4;

/// Escapes a label value for the Prometheus text format.
std::string escaped(const std::string& text)
{
    std::string out;
    for (const char it : text) {
        if (it == '\\' || it == '"') {
            out += '\\';
        }
        if (it == '\n') {
            out += "\\n";
            continue;
        }
        out += it;
    }
    return out;
}

metrics::counter& outcome_counter(metrics& all, const std::string& name, const char* outcome)
{
    return all.count(
        fmt::format("toucan_edge_workspace_requests_total{{workspace=\"{}\",outcome=\"{}\"}}",
                    escaped(name), outcome));
}

} // namespace

struct workspace_limits::counters {
    counters(metrics& all, const std::string& name)
        : admitted(outcome_counter(all, name, "admitted")),
          over_quota(outcome_counter(all, name, "over_quota")),
          no_capacity(outcome_counter(all, name, "no_capacity")),
          late(outcome_counter(all, name, "late"))
    {
    }

    metrics::counter& admitted;
    metrics::counter& over_quota;
    metrics::counter& no_capacity;
    metrics::counter& late;
};

workspace_limits::workspace_limits(const clock& time, const bounds& limits, metrics& all)
    : time_(time),
      metrics_(all), terms_{limits.quota_window, limits.quota_overage, limits.quota_slack},
      members_{1, 1, time.now()}
{
}

void workspace_limits::set_config(const workspace_table& all)
{
    for (const auto& it : all.all()) {
        if (const auto found = entries_.find(it.name); found != entries_.end()) {
            found->second->quota.set_limit({it.quota.rate_per_s, it.quota.burst});
        }
    }
}

void workspace_limits::set_members(std::size_t known, std::size_t heard)
{
    members_.known = std::max<std::size_t>(known, 1);
    members_.heard = heard;
}

std::shared_ptr<workspace_limits::counters>
workspace_limits::counters_of(const workspace_name& name)
{
    if (const auto it = counters_.find(name); it != counters_.end()) {
        return it->second;
    }
    if (counters_.size() < max_named_workspaces) {
        return counters_[name] = std::make_shared<counters>(metrics_, name.text());
    }
    if (!other_counters_) {
        other_counters_ = std::make_shared<counters>(metrics_, "other");
    }
    return other_counters_;
}

workspace_limits::entry& workspace_limits::find(const workspace& it)
{
    auto& found = entries_[it.name];
    if (!found) {
        found = std::make_unique<entry>(terms_, members_);
        found->quota.set_limit({it.quota.rate_per_s, it.quota.burst});
        found->outcomes = counters_of(it.name);
        if (reported_at_) {
            found->quota.record_peers(peers_.workspace(short_hash(it.name.text())), *reported_at_);
        }
    }
    return *found;
}

std::optional<milliseconds> workspace_limits::ask(const workspace& it)
{
    auto& found = find(it);
    const auto now = time_.now();
    const auto wait = found.quota.ask(now, absl::Uniform(random_, 0.0, 1.0));
    if (!wait) {
        ++found.outcomes->admitted;
        return std::nullopt;
    }
    ++found.outcomes->over_quota;
    if (!std::exchange(found.refused_at, now)) {
        log_event("quota_binding", "workspace={} rate_per_s={} burst={} utilization={:.2f}",
                  it.name.text(), it.quota.rate_per_s, it.quota.burst,
                  found.quota.utilization(now));
    }
    return std::chrono::ceil<milliseconds>(*wait);
}

bool workspace_limits::would_admit(const workspace& it)
{
    return find(it).quota.would_admit(time_.now());
}

void workspace_limits::refund(const workspace& it, steady_time admitted_at)
{
    if (const auto found = entries_.find(it.name); found != entries_.end()) {
        found->second->quota.refund(admitted_at, time_.now());
    }
}

void workspace_limits::record_sent(const workspace& it, steady_time counted_at)
{
    find(it).quota.record_sent(counted_at, time_.now());
}

void workspace_limits::count(const workspace& it, workspace_outcome outcome)
{
    auto& all = *counters_of(it.name);
    switch (outcome) {
    case workspace_outcome::admitted:
        ++all.admitted;
        break;
    case workspace_outcome::over_quota:
        ++all.over_quota;
        break;
    case workspace_outcome::no_capacity:
        ++all.no_capacity;
        break;
    case workspace_outcome::late:
        ++all.late;
        break;
    }
}

policy::load_summary workspace_limits::usage() const
{
    struct reported {
        const workspace_name* name = nullptr;
        policy::workspace_usage usage;
        double utilization = 0;
    };
    const auto now = time_.now();
    std::vector<reported> all;
    for (const auto& [name, it] : entries_) {
        const auto usage = it->quota.local(now);
        if (it->quota.limit().rate_per_s > 0 && (usage.admitted > 0 || usage.daemons > 0)) {
            all.push_back({&name, usage, it->quota.utilization(now)});
        }
    }
    if (all.size() > max_reported_workspaces) {
        std::nth_element(all.begin(), all.begin() + max_reported_workspaces, all.end(),
                         [](const reported& lhs, const reported& rhs) {
                             return lhs.utilization > rhs.utilization;
                         });
        all.resize(max_reported_workspaces);
    }
    policy::load_summary sum;
    for (const auto& it : all) {
        sum.add_workspace(short_hash(it.name->text()), it.usage);
    }
    return sum;
}

void workspace_limits::record_peers(const policy::load_summary& all)
{
    const auto now = time_.now();
    peers_.set_workspaces(all);
    reported_at_ = now;
    bool pressure = false;
    for (const auto& [name, it] : entries_) {
        it->quota.record_peers(all.workspace(short_hash(name.text())), now);
        pressure = pressure || it->quota.utilization(now) > pressure_utilization;
    }
    pressure_ = pressure;
}

void workspace_limits::update()
{
    const auto now = time_.now();
    for (const auto& [name, it] : entries_) {
        if (it->refused_at && now - *it->refused_at > terms_.window) {
            it->refused_at.reset();
            log_event("quota_free", "workspace={} utilization={:.2f}", name.text(),
                      it->quota.utilization(now));
        }
    }
    absl::erase_if(entries_, [&](const auto& it) {
        return it.second->quota.idle(now) && !it.second->refused_at;
    });
}

nlohmann::json workspace_limits::state() const
{
    const auto now = time_.now();
    nlohmann::json all = nlohmann::json::object();
    for (const auto& [name, it] : entries_) {
        const auto& limit = it->quota.limit();
        const double quota =
            limit.rate_per_s * std::chrono::duration<double>(terms_.window).count() + limit.burst;
        const auto local = it->quota.local(now);
        all[name.text()] = {{"rate_per_s", limit.rate_per_s},
                            {"burst", limit.burst},
                            {"asked_per_s", local.asked_per_s},
                            {"quota_used_here", quota > 0 ? local.admitted / quota : 0},
                            {"quota_used", it->quota.utilization(now)},
                            {"quota_binds", it->refused_at.has_value()},
                            {"admitted", it->outcomes->admitted.load()},
                            {"over_quota", it->outcomes->over_quota.load()},
                            {"no_capacity", it->outcomes->no_capacity.load()},
                            {"late", it->outcomes->late.load()}};
    }
    return all;
}

} // namespace toucan::edge
