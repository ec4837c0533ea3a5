#include "home_table.h"

#include "refusal_text.h"

#include "toucan/base/log.h"
#include "toucan/base/stable_hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace toucan::daemon {

namespace {

/// Number of low bits of a credit id in which a home counts its grants. The high bits identify the
/// home.
constexpr unsigned credit_range_bits = 24;

} // namespace

home_table::home_table(vm_id self, const backend::backend_pool& pool, home::environment env)
    : self_(self), pool_(pool), env_(std::move(env))
{
}

void home_table::reconcile(const std::vector<home_assignment>& assignments,
                           bool may_have_predecessors)
{
    std::vector<std::shared_ptr<home>> closed;
    {
        const absl::MutexLock lock(&mutex_);
        absl::flat_hash_map<backend_server_name, std::shared_ptr<home>> kept;
        for (const auto& assignment : assignments) {
            auto client = pool_.find(assignment.backend.address);
            if (!client) {
                continue;
            }
            const auto it = homes_.find(assignment.backend.name);
            if (it != homes_.end()) {
                it->second->configure(assignment, std::move(client));
                kept.emplace(it->first, it->second);
                homes_.erase(it);
                continue;
            }
            const auto range = stable_hash(self_.run.to_string(), ++next_credit_range_);
            const auto first_id = ((range << credit_range_bits) | 1U);
            kept.emplace(assignment.backend.name,
                         std::make_shared<home>(assignment, std::move(client), env_, first_id,
                                                may_have_predecessors));
            log(log_part::policy)
                .info("now the home of backend server {}", assignment.backend.name.text());
        }
        for (const auto& [name, it] : homes_) {
            log(log_part::policy)
                .info("no longer the home of backend server {}; refusing its new and waiting "
                      "requests",
                      name.text());
            closed.push_back(it);
        }
        homes_ = std::move(kept);
    }
    for (const auto& it : closed) {
        it->close(std::string(refusal_text::home_moved));
    }
}

std::shared_ptr<home> home_table::find(const backend_server_name& backend) const
{
    const absl::MutexLock lock(&mutex_);
    const auto it = homes_.find(backend);
    return it == homes_.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<home>> home_table::all() const
{
    const absl::MutexLock lock(&mutex_);
    std::vector<std::shared_ptr<home>> result;
    result.reserve(homes_.size());
    for (const auto& [name, it] : homes_) {
        result.push_back(it);
    }
    return result;
}

rpc::credit_reply home_table::grant(const rpc::credit_request& request)
{
    std::shared_ptr<home> best;
    std::uint32_t most_spare = 0;
    for (const auto& it : all()) {
        if (it->assignment().service.name != request.service) {
            continue;
        }
        const auto spare = it->spare_slots();
        if (!best || spare > most_spare) {
            best = it;
            most_spare = spare;
        }
    }
    return best ? best->grant(request) : rpc::credit_reply{};
}

std::vector<rpc::backend_load> home_table::loads() const
{
    std::vector<rpc::backend_load> result;
    for (const auto& it : all()) {
        result.push_back(it->load());
    }
    std::sort(result.begin(), result.end(),
              [](const auto& lhs, const auto& rhs) { return lhs.backend < rhs.backend; });
    return result;
}

std::vector<rpc::service_load> home_table::service_loads() const
{
    std::vector<rpc::service_load> result;
    for (const auto& it : all()) {
        const auto service = it->assignment().service.name;
        auto entry = std::find_if(result.begin(), result.end(),
                                  [&](const auto& load) { return load.service == service; });
        if (entry == result.end()) {
            entry = result.insert(result.end(), {service, 0, 0, 0});
        }
        const auto load = it->load();
        entry->capacity_slots += load.admitted_slots;
        entry->spare_slots += it->spare_slots();
        entry->queued += load.queued;
    }
    return result;
}

void home_table::tick()
{
    for (const auto& it : all()) {
        it->tick();
    }
}

nlohmann::json home_table::state() const
{
    auto result = nlohmann::json::object();
    for (const auto& it : all()) {
        result[it->assignment().backend.name.text()] = it->state();
    }
    return result;
}

} // namespace toucan::daemon
