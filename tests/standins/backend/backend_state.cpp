#include "backend_state.h"

#include <algorithm>
#include <utility>

namespace toucan::standins {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Older samples are of no use: no test lets the reports lag for longer.
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
    if (clock_type::now() - start_ >= settings_.cold_for) {
        return settings_.service_time;
    }
    return duration_cast<milliseconds>(settings_.service_time * settings_.cold_factor);
}

bool backend_state::begin_work()
{
    const std::lock_guard lock(mutex_);
    const bool drained = drain_ends_ && clock_type::now() >= *drain_ends_;
    if (drained || in_use_ >= settings_.slots) {
        return false;
    }
    ++in_use_;
    peak_ = std::max(peak_, in_use_);
    add_sample();
    return true;
}

void backend_state::end_work()
{
    const std::lock_guard lock(mutex_);
    --in_use_;
    add_sample();
}

void backend_state::drain(const nlohmann::json& body)
{
    const std::lock_guard lock(mutex_);
    draining_ = body.value("draining", true);
    drain_ends_.reset();
    if (draining_) {
        drain_ends_ = clock_type::now() + milliseconds(body.value("grace_ms", 0));
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
    execution["arrival_ms"] = since_start_ms();
    // The clock is the same in all processes of a machine, so callers can compare.
    const auto now = clock_type::now().time_since_epoch();
    execution["monotonic_us"] = duration_cast<std::chrono::microseconds>(now).count();
    executions_.push_back(std::move(execution));
}

void backend_state::count_arrival()
{
    const std::lock_guard lock(mutex_);
    ++arrivals_[since_start_ms() / 1000];
}

void backend_state::count_shed()
{
    const std::lock_guard lock(mutex_);
    ++shed_;
}

void backend_state::count_cancelled()
{
    const std::lock_guard lock(mutex_);
    ++cancelled_;
}

void backend_state::set_fault(const backend_fault& it)
{
    const std::lock_guard lock(mutex_);
    fault_ = it;
}

backend_fault backend_state::take_fault(const std::string& target)
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
    const auto* state = shown().draining ? "draining" : "ready";
    return {{"state", settings_.lie_state.empty() ? state : settings_.lie_state},
            {"incarnation", incarnation_}};
}

nlohmann::json backend_state::load()
{
    const std::lock_guard lock(mutex_);
    const std::int64_t in_use = shown().in_use;
    return {{"in_use", settings_.lie_in_use < 0 ? in_use : settings_.lie_in_use},
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
    for (const auto& [second, n] : arrivals_) {
        arrivals.push_back({{"second", second}, {"count", n}});
    }
    return {{"in_use", in_use_},         {"peak", peak_}, {"slots", settings_.slots},
            {"arrivals", arrivals},      {"shed", shed_}, {"cancelled", cancelled_},
            {"now_ms", since_start_ms()}};
}

std::int64_t backend_state::since_start_ms() const
{
    return duration_cast<milliseconds>(clock_type::now() - start_).count();
}

void backend_state::add_sample()
{
    samples_.push_back({clock_type::now(), in_use_, draining_});
    if (samples_.size() > max_samples) {
        samples_.pop_front();
    }
}

backend_state::sample backend_state::shown()
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
