#include "backend_state.h"

#include <algorithm>
#include <utility>

namespace toucan::standins {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Enough samples for the longest report lag of any test.
constexpr std::size_t max_samples = 100'000;

} // namespace

backend_state::backend_state(backend_settings settings, std::string incarnation)
    : incarnation_(std::move(incarnation)), settings_(std::move(settings))
{
    add_sample();
}

void backend_state::update_settings(const nlohmann::json& body)
{
    const std::lock_guard lock(mutex_);
    settings_.update(body);
}

backend_settings backend_state::settings()
{
    const std::lock_guard lock(mutex_);
    return settings_;
}

milliseconds backend_state::service_time()
{
    const std::lock_guard lock(mutex_);
    if (clock_type::now() - started_at_ >= settings_.cold_for) {
        return settings_.service_time;
    }
    return duration_cast<milliseconds>(settings_.service_time * settings_.cold_factor);
}

bool backend_state::try_acquire_slot()
{
    const std::lock_guard lock(mutex_);
    const bool grace_ended = grace_ends_at_ && clock_type::now() >= *grace_ends_at_;
    if (grace_ended || in_use_ >= settings_.slots) {
        return false;
    }
    ++in_use_;
    peak_in_use_ = std::max(peak_in_use_, in_use_);
    add_sample();
    return true;
}

void backend_state::release_slot()
{
    const std::lock_guard lock(mutex_);
    --in_use_;
    add_sample();
}

void backend_state::drain(const nlohmann::json& body)
{
    const std::lock_guard lock(mutex_);
    draining_ = body.value("draining", true);
    grace_ends_at_.reset();
    if (draining_) {
        grace_ends_at_ = clock_type::now() + milliseconds(body.value("grace_ms", 0));
    }
    add_sample();
}

void backend_state::freeze(bool frozen)
{
    const std::lock_guard lock(mutex_);
    frozen_at_ = frozen ? std::optional(clock_type::now()) : std::nullopt;
}

void backend_state::record(nlohmann::json execution)
{
    const std::lock_guard lock(mutex_);
    execution["backend"] = settings_.name;
    execution["arrival_ms"] = uptime_ms();
    // All processes of a machine share this clock, so times of callers are comparable.
    const auto now = clock_type::now().time_since_epoch();
    execution["monotonic_us"] = duration_cast<std::chrono::microseconds>(now).count();
    executions_.push_back(std::move(execution));
}

void backend_state::count_arrival()
{
    const std::lock_guard lock(mutex_);
    ++arrivals_per_second_[uptime_ms() / 1000];
}

void backend_state::count_shed()
{
    const std::lock_guard lock(mutex_);
    ++shed_count_;
}

void backend_state::count_cancelled()
{
    const std::lock_guard lock(mutex_);
    ++cancelled_count_;
}

void backend_state::set_fault(const backend_fault& it)
{
    const std::lock_guard lock(mutex_);
    fault_ = it;
}

backend_fault backend_state::consume_fault(const std::string& target)
{
    const std::lock_guard lock(mutex_);
    if (fault_.count == 0 || !target.starts_with(fault_.path_prefix)) {
        return {};
    }
    --fault_.count;
    return fault_;
}

nlohmann::json backend_state::health()
{
    const std::lock_guard lock(mutex_);
    const auto* state = reported_sample().draining ? "draining" : "ready";
    return {{"state", settings_.state_override.empty() ? state : settings_.state_override},
            {"incarnation", incarnation_}};
}

nlohmann::json backend_state::load()
{
    const std::lock_guard lock(mutex_);
    const std::int64_t in_use = reported_sample().in_use;
    return {{"in_use", settings_.in_use_override < 0 ? in_use : settings_.in_use_override},
            {"slots", settings_.slots}};
}

nlohmann::json backend_state::executions()
{
    const std::lock_guard lock(mutex_);
    return executions_;
}

nlohmann::json backend_state::usage()
{
    const std::lock_guard lock(mutex_);
    nlohmann::json arrivals = nlohmann::json::array();
    for (const auto& [second, n] : arrivals_per_second_) {
        arrivals.push_back({{"second", second}, {"count", n}});
    }
    return {{"in_use", in_use_},    {"peak", peak_in_use_}, {"slots", settings_.slots},
            {"arrivals", arrivals}, {"shed", shed_count_},  {"cancelled", cancelled_count_},
            {"now_ms", uptime_ms()}};
}

std::int64_t backend_state::uptime_ms() const
{
    return duration_cast<milliseconds>(clock_type::now() - started_at_).count();
}

void backend_state::add_sample()
{
    samples_.push_back({clock_type::now(), in_use_, draining_});
    if (samples_.size() > max_samples) {
        samples_.pop_front();
    }
}

backend_state::sample backend_state::reported_sample()
{
    auto at = clock_type::now() - settings_.report_lag;
    if (frozen_at_) {
        at = std::min(at, *frozen_at_);
    }
    const auto it =
        std::upper_bound(samples_.begin(), samples_.end(), at,
                         [](time_point lhs, const sample& rhs) { return lhs < rhs.at; });
    return it == samples_.begin() ? samples_.front() : *std::prev(it);
}

} // namespace toucan::standins
