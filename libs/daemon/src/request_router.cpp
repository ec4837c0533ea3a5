#include "request_router.h"

#include "refusal_text.h"

#include "toucan/base/stable_hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace toucan::daemon {

namespace {

/// Maximum attempts per request. Waiting for credit and retries after a home change do not count.
constexpr int max_attempts = 3;
/// Maximum wait for the first credit from another failure domain: a round trip between regions plus
/// processing time.
constexpr std::chrono::milliseconds max_first_credit_wait{250};
constexpr std::chrono::milliseconds credit_timeout{500};
/// Time to wait before retrying a backend server whose home is changing.
constexpr std::chrono::milliseconds home_change_retry_delay{50};
/// Subtracted from the time budget passed to another daemon, so that its reply arrives before the
/// deadline.
constexpr std::chrono::milliseconds reply_margin{20};

bool may_have_run(const outcome& it)
{
    return !std::holds_alternative<not_run>(it);
}

/// Whether the home refused the credit of the request. The reasons of these refusals begin with
/// "credit".
bool is_credit_refusal(const outcome& it)
{
    const auto* refusal = std::get_if<not_run>(&it);
    return refusal != nullptr && std::string_view(refusal->reason).substr(0, 6) == "credit";
}

bool is_home_refusal(const outcome& it)
{
    const auto* refusal = std::get_if<not_run>(&it);
    return refusal != nullptr && (refusal->reason == refusal_text::not_home ||
                                  refusal->reason == refusal_text::home_moved);
}

backend_server_name target_of(const policy::route_decision& decision)
{
    if (const auto* local = std::get_if<policy::serve_local>(&decision)) {
        return local->backend;
    }
    if (const auto* remote = std::get_if<policy::serve_remote>(&decision)) {
        return remote->credit.backend;
    }
    return {};
}

} // namespace

request_router::request_router(environment env, home_table& homes, rpc::daemon_client& peers)
    : env_(env), homes_(homes), peers_(peers), links_(*env_.time)
{
}

void request_router::update(std::shared_ptr<const routing_view> view)
{
    links_.update(view->config->topology, view->local_region);
    std::vector<std::pair<service_name, std::shared_ptr<service_router>>> current;
    {
        const absl::MutexLock lock(&mutex_);
        view_ = view;
        absl::erase_if(routers_,
                       [&](const auto& it) { return !view->services.contains(it.first); });
        for (const auto& [name, service] : view->services) {
            auto& router = routers_[name];
            if (!router) {
                service_router::environment env;
                env.time = env_.time;
                env.epoch_offset = env_.epoch_offset;
                env.enforce_shift = env_.enforce_shift;
                env.link_allows = [this](const region_name& region, std::size_t bytes) {
                    return links_.allows(region, bytes);
                };
                const auto seed = stable_hash(name.text(), env_.self.run.value());
                router = std::make_shared<service_router>(std::move(env), seed);
            }
            current.emplace_back(name, router);
        }
    }
    for (const auto& [name, router] : current) {
        router->update(*view, name);
    }
}

std::shared_ptr<service_router> request_router::find(const service_name& service) const
{
    const absl::MutexLock lock(&mutex_);
    const auto it = routers_.find(service);
    return it == routers_.end() ? nullptr : it->second;
}

std::shared_ptr<const routing_view> request_router::view() const
{
    const absl::MutexLock lock(&mutex_);
    return view_;
}

outcome request_router::route(const rpc::forward_request& request, bool idempotent,
                              steady_time deadline, const operations::dispatch_guard& guard)
{
    const auto router = find(request.service);
    if (!router) {
        return not_run{"service is not in the configuration", std::chrono::seconds(1)};
    }
    router->count_request();
    std::vector<backend_server_name> tried;
    outcome result = not_run{"deadline passed before dispatch", {}};
    std::optional<unknown> last_unknown;
    bool waited_for_credit = false;
    for (int n = 0; n < max_attempts; ++n) {
        const auto started = env_.time->now();
        if (started >= deadline) {
            break;
        }
        const auto decision = router->decide(request, tried, deadline - started);
        if (const auto* refusal = std::get_if<policy::refuse>(&decision)) {
            const bool needs_credit = refusal->reason == policy::refusal_reason::no_credit;
            if (needs_credit && !waited_for_credit && deadline - started > max_first_credit_wait) {
                waited_for_credit = true;
                const auto seen = router->credits_received();
                request_credit_for(request.service, *router);
                router->wait_for_credit(seen, max_first_credit_wait);
                --n;
                continue;
            }
            result = not_run{std::string(policy::to_string(refusal->reason)), refusal->retry_after};
            break;
        }
        result = attempt(*router, decision, request, deadline, guard);
        const bool maybe_ran = may_have_run(result);
        if (const auto* unresolved = std::get_if<unknown>(&result)) {
            last_unknown = *unresolved;
        }
        router->finish(decision, maybe_ran, env_.time->now() - started);
        if (is_home_refusal(result) && env_.time->now() + home_change_retry_delay < deadline) {
            // The daemons agree on the home again after the next sync, so the same backend server
            // is retried.
            std::this_thread::sleep_for(home_change_retry_delay);
            --n;
            continue;
        }
        if (is_credit_refusal(result)) {
            router->drop_credit(std::get<policy::serve_remote>(decision).credit);
        }
        else {
            tried.push_back(target_of(decision));
        }
        if (std::holds_alternative<completed>(result) || (maybe_ran && !idempotent)) {
            break;
        }
        if (maybe_ran && !router->try_spend_retry()) {
            break;
        }
    }
    // The refusal of a later attempt must not hide an earlier attempt that may have run.
    return last_unknown && !may_have_run(result) ? outcome(*last_unknown) : result;
}

outcome request_router::attempt(service_router& router, const policy::route_decision& decision,
                                rpc::forward_request request, steady_time deadline,
                                const operations::dispatch_guard& guard)
{
    request.mode = rpc::forward_mode::serve;
    request.target = target_of(decision);
    request.credit_id = 0;
    ++request.hops;
    if (std::holds_alternative<policy::serve_local>(decision)) {
        return serve_at(home_of(request.service, request.target), request, deadline, guard);
    }
    const auto& remote = std::get<policy::serve_remote>(decision);
    request.credit_id = remote.credit.id;
    const auto grantor = router.grantor(remote.credit.id);
    if (!grantor) {
        return not_run{"credit expired", {}};
    }
    if (remote.crosses_link && !links_.try_spend(remote.region, request.request.body.size())) {
        return not_run{std::string(policy::to_string(policy::refusal_reason::link_budget)),
                       std::chrono::milliseconds(100)};
    }
    return serve_at(*grantor, request, deadline, guard);
}

outcome request_router::serve_at(vm_address home, const rpc::forward_request& request,
                                 steady_time deadline, const operations::dispatch_guard& guard)
{
    if (home == env_.self.address) {
        const auto found = homes_.find(request.target);
        return found ? found->serve(request, deadline, guard)
                     : outcome(not_run{std::string(refusal_text::not_home), {}});
    }
    // The home cannot check this daemon's guard, so it is checked before the request is sent.
    if (!guard.allows()) {
        return not_run{"deadline passed before dispatch", {}};
    }
    const auto time_left =
        std::chrono::floor<std::chrono::milliseconds>(deadline - env_.time->now());
    if (time_left <= reply_margin) {
        return not_run{"deadline passed before dispatch", {}};
    }
    auto forwarded = request;
    forwarded.time_left = time_left - reply_margin;
    auto reply = peers_.forward(home, forwarded, time_left);
    if (auto* answer = std::get_if<rpc::forward_reply>(&reply)) {
        return std::move(answer->result);
    }
    const auto& error = std::get<rpc::rpc_error>(reply);
    if (error.kind == rpc::rpc_failure::not_sent) {
        return not_run{"home " + home.to_string() + " is not reachable", {}};
    }
    return unknown{"no reply from home " + home.to_string()};
}

vm_address request_router::home_of(const service_name& service,
                                   const backend_server_name& backend) const
{
    const absl::MutexLock lock(&mutex_);
    const auto found = view_->services.find(service);
    if (found == view_->services.end()) {
        return {};
    }
    const auto& locals = found->second.local_backends;
    const auto it = std::find_if(locals.begin(), locals.end(),
                                 [&](const auto& other) { return other.name == backend; });
    return it == locals.end() ? vm_address() : it->home;
}

void request_router::request_credit_for(const service_name& service, service_router& router)
{
    const auto local_domain = view()->local_domain;
    const auto local_region = view()->local_region;
    for (const auto& target : router.select_credit_targets()) {
        rpc::credit_request request;
        request.requester = env_.self;
        request.service = service;
        request.failure_domain = local_domain;
        request.region = local_region;
        request.wanted_slots = target.slots;
        const auto requested_at = env_.time->now();
        const auto reply = peers_.request_credit(target.home, request, credit_timeout);
        policy::received_credit credit;
        credit.service = service;
        credit.failure_domain = target.failure_domain;
        credit.delay = target.one_way_delay;
        if (const auto* granted = std::get_if<rpc::credit_reply>(&reply)) {
            credit.id = granted->credit_id;
            credit.backend = granted->target;
            credit.slots = granted->slots;
            credit.lifetime = granted->lifetime;
        }
        router.record_credit_reply(target, credit, requested_at);
    }
}

void request_router::renew_credit()
{
    std::vector<std::pair<service_name, std::shared_ptr<service_router>>> current;
    {
        const absl::MutexLock lock(&mutex_);
        current.assign(routers_.begin(), routers_.end());
    }
    for (const auto& [name, router] : current) {
        request_credit_for(name, *router);
    }
}

nlohmann::json request_router::state() const
{
    auto result = nlohmann::json::object();
    const absl::MutexLock lock(&mutex_);
    for (const auto& [name, router] : routers_) {
        result[name.text()] = router->state();
    }
    return result;
}

} // namespace toucan::daemon
