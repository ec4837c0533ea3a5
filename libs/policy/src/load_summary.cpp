#include "toucan/policy/load_summary.h"

#include <algorithm>

namespace toucan::policy {

namespace {

/// A remainder below this number of slots after a subtraction is a rounding error.
constexpr double min_slots = 1e-3;

} // namespace

void load_summary::add_backend(std::uint32_t backend, const backend_use& use)
{
    auto& it = backends_[backend];
    it.slots += use.slots;
    it.daemons += use.daemons;
}

void load_summary::add_requests(std::uint32_t backend, const request_count& it)
{
    auto& sum = requests_[backend];
    sum.requests += it.requests;
    sum.offers += it.offers;
    sum.daemons += it.daemons;
}

void load_summary::add_demand(const demand_key& key, double slots)
{
    demands_[key] += slots;
}

void load_summary::add_workspace(std::uint32_t workspace, const workspace_usage& it)
{
    auto& sum = workspaces_[workspace];
    sum.admitted += it.admitted;
    sum.asked_per_s += it.asked_per_s;
    sum.daemons += it.daemons;
}

load_summary& load_summary::operator+=(const load_summary& other)
{
    for (const auto& [id, use] : other.backends_) {
        add_backend(id, use);
    }
    for (const auto& [id, count] : other.requests_) {
        add_requests(id, count);
    }
    for (const auto& [key, slots] : other.demands_) {
        add_demand(key, slots);
    }
    for (const auto& [id, usage] : other.workspaces_) {
        add_workspace(id, usage);
    }
    return *this;
}

load_summary& load_summary::operator-=(const load_summary& other)
{
    for (const auto& [id, use] : other.backends_) {
        const auto it = backends_.find(id);
        if (it == backends_.end()) {
            continue;
        }
        it->second.slots -= use.slots;
        it->second.daemons -= std::min(use.daemons, it->second.daemons);
        if (it->second.slots < min_slots) {
            backends_.erase(it);
        }
    }
    for (const auto& [id, count] : other.requests_) {
        const auto it = requests_.find(id);
        if (it == requests_.end()) {
            continue;
        }
        it->second.requests = std::max(0.0, it->second.requests - count.requests);
        it->second.offers = std::max(0.0, it->second.offers - count.offers);
        it->second.daemons -= std::min(count.daemons, it->second.daemons);
        if (it->second == request_count{}) {
            requests_.erase(it);
        }
    }
    for (const auto& [key, slots] : other.demands_) {
        const auto it = demands_.find(key);
        if (it == demands_.end()) {
            continue;
        }
        it->second -= slots;
        if (it->second < min_slots) {
            demands_.erase(it);
        }
    }
    for (const auto& [id, usage] : other.workspaces_) {
        const auto it = workspaces_.find(id);
        if (it == workspaces_.end()) {
            continue;
        }
        it->second.admitted = std::max(0.0, it->second.admitted - usage.admitted);
        it->second.asked_per_s = std::max(0.0, it->second.asked_per_s - usage.asked_per_s);
        it->second.daemons -= std::min(usage.daemons, it->second.daemons);
        if (it->second == workspace_usage{}) {
            workspaces_.erase(it);
        }
    }
    return *this;
}

backend_use load_summary::backend(std::uint32_t id) const
{
    const auto it = backends_.find(id);
    return it == backends_.end() ? backend_use{} : it->second;
}

request_count load_summary::requests(std::uint32_t backend) const
{
    const auto it = requests_.find(backend);
    return it == requests_.end() ? request_count{} : it->second;
}

workspace_usage load_summary::workspace(std::uint32_t id) const
{
    const auto it = workspaces_.find(id);
    return it == workspaces_.end() ? workspace_usage{} : it->second;
}

double load_summary::demand(const demand_key& key) const
{
    const auto it = demands_.find(key);
    return it == demands_.end() ? 0 : it->second;
}

} // namespace toucan::policy
