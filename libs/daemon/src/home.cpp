#include "home.h"

#include "refusal_text.h"

#include "toucan/base/config.h"
#include "toucan/base/log.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace toucan::daemon {

namespace {

/// A backend server that missed this many polls in a row is not sent anything, unless it answered a
/// request lately.
constexpr std::uint32_t failed_poll_limit = 2;
constexpr std::chrono::seconds response_is_recent{2};
constexpr milliseconds moved_retry_after{200};
constexpr milliseconds credit_retry_after{500};

/// A new home waits this long, until its predecessor has surely heard of it in a sync.
constexpr milliseconds start_delay = config::sync_interval + milliseconds(500);

not_run to_not_run(const policy::refuse& it)
{
    return {std::string(policy::to_string(it.reason)), it.retry_after};
}

const char* credit_problem(policy::credit_check check)
{
    switch (check) {
    case policy::credit_check::unknown:
        return "credit unknown to the home";
    case policy::credit_check::expired:
        return "credit expired";
    case policy::credit_check::all_in_use:
        return "credit used up";
    case policy::credit_check::accepted:
        break;
    }
    return "credit accepted";
}

} // namespace

home::home(home_plan plan, std::shared_ptr<backend::backend_client> client, environment env,
           std::uint64_t first_credit_id, bool successor)
    : env_(std::move(env)), plan_(std::move(plan)), client_(std::move(client)),
      queue_(policy::settings_for(plan_.service, plan_.backend.slots), env_.time->now(), false),
      ledger_({}, first_credit_id, env_.time->now(), successor),
      received_shift_(plan_.received_shift, plan_.service.shift.interval, shift_now()),
      active_from_(env_.time->now() + start_delay), last_valid_(env_.time->now()),
      successor_(successor)
{
}

steady_time home::shift_now() const
{
    return env_.time->now() + std::chrono::duration_cast<steady_time::duration>(env_.epoch_offset);
}

void home::configure(home_plan plan, std::shared_ptr<backend::backend_client> client)
{
    const absl::MutexLock lock(&mutex_);
    client_ = std::move(client);
    if (plan == plan_) {
        return;
    }
    queue_.configure(policy::settings_for(plan.service, plan.backend.slots));
    if (plan.service.shift.interval == plan_.service.shift.interval) {
        received_shift_.configure(plan.received_shift);
    }
    else {
        received_shift_ =
            policy::shift_ramp(plan.received_shift, plan.service.shift.interval, shift_now());
    }
    plan_ = std::move(plan);
}

void home::close(const std::string& reason)
{
    const absl::MutexLock lock(&mutex_);
    if (closed_) {
        return;
    }
    closed_ = reason;
    for (auto& [id, it] : waiting_) {
        queue_.cancel(id);
        it->refused = not_run{reason, moved_retry_after};
    }
    waiting_.clear();
}

outcome home::serve(const rpc::forward_request& request, steady_time deadline,
                    const operations::dispatch_guard& guard)
{
    auto acquired = acquire(request, deadline);
    if (auto* refusal = std::get_if<not_run>(&acquired)) {
        return std::move(*refusal);
    }
    const auto& held = std::get<slot>(acquired);
    const auto sent = env_.time->now();
    // The view may have become old while the request waited, for example in a paused process.
    const operations::dispatch_guard still_home([&] { return may_dispatch() && guard.allows(); });
    auto result = held.client->send(request.request, deadline, still_home);
    const bool answered = std::holds_alternative<backend::responded>(result);
    note_result(result);
    release(held.id, request.credit_id,
            answered ? env_.time->now() - sent : std::chrono::nanoseconds(0));
    return backend::to_outcome(std::move(result));
}

std::variant<home::slot, not_run> home::acquire(const rpc::forward_request& request,
                                                steady_time deadline)
{
    const absl::MutexLock lock(&mutex_);
    const auto now = env_.time->now();
    if (auto refusal = check_arrival(request, now)) {
        return *std::move(refusal);
    }
    const auto id = next_id_++;
    ticket mine;
    waiting_.emplace(id, &mine);
    const auto admission =
        queue_.admit({id, plan_.service.priority, now, deadline, request.credit_id}, now);
    settle(admission.others);
    if (std::holds_alternative<policy::admitted>(admission.decision)) {
        mine.started = true;
    }
    else if (const auto* refused = std::get_if<policy::refuse>(&admission.decision)) {
        mine.refused = to_not_run(*refused);
    }
    const auto decided = [&mine] {
        return mine.started || mine.refused;
    };
    const auto left = deadline - env_.time->now();
    mutex_.AwaitWithTimeout(absl::Condition(&decided), absl::FromChrono(left));
    waiting_.erase(id);
    if (mine.started) {
        peak_in_use_ = std::max(peak_in_use_, queue_.in_use(env_.time->now()));
        return slot{id, client_};
    }
    if (!mine.refused) {
        queue_.cancel(id);
        mine.refused = not_run{"no slot before the deadline", credit_retry_after};
    }
    drop_credit(request.credit_id);
    if (is_shifted(request)) {
        received_shift_.give_back(shift_now());
    }
    return *std::move(mine.refused);
}

std::optional<not_run> home::check_arrival(const rpc::forward_request& request, steady_time now)
{
    if (closed_) {
        return not_run{*closed_, moved_retry_after};
    }
    if (!is_active(now)) {
        return not_run{std::string(refusal_text::not_home), moved_retry_after};
    }
    if (is_failing(now)) {
        return not_run{fmt::format("backend server {} does not answer", plan_.backend.name.text()),
                       moved_retry_after};
    }
    if (request.credit_id != 0 && env_.enforce_credit) {
        const auto check = ledger_.accept(request.credit_id, now);
        if (check != policy::credit_check::accepted) {
            return not_run{credit_problem(check), credit_retry_after};
        }
    }
    if (is_shifted(request) && env_.enforce_shift && !received_shift_.try_spend(shift_now())) {
        drop_credit(request.credit_id);
        return not_run{std::string(policy::to_string(policy::refusal_reason::shift_cap)),
                       std::chrono::ceil<milliseconds>(received_shift_.until_renewal(shift_now()))};
    }
    return std::nullopt;
}

bool home::is_active(steady_time now)
{
    const bool valid = env_.valid();
    // After a gap another daemon may have been the home, and its requests may still be under way.
    if (now - last_valid_ > config::home_validity) {
        active_from_ = now + start_delay;
    }
    if (valid) {
        last_valid_ = now;
    }
    return valid && now >= active_from_;
}

bool home::may_dispatch()
{
    const absl::MutexLock lock(&mutex_);
    return is_active(env_.time->now());
}

bool home::is_shifted(const rpc::forward_request& request) const
{
    return !request.client_region.empty() && request.client_region != plan_.region;
}

void home::settle(const policy::slot_changes& changes)
{
    for (const auto id : changes.started) {
        if (const auto it = waiting_.find(id); it != waiting_.end()) {
            it->second->started = true;
        }
    }
    for (const auto& refused : changes.refused) {
        if (const auto it = waiting_.find(refused.id); it != waiting_.end()) {
            it->second->refused = to_not_run(refused.why);
        }
    }
}

void home::drop_credit(std::uint64_t credit_id)
{
    if (credit_id != 0 && env_.enforce_credit) {
        ledger_.release(credit_id);
    }
}

void home::release(std::uint64_t id, std::uint64_t credit_id, std::chrono::nanoseconds service_time)
{
    const absl::MutexLock lock(&mutex_);
    drop_credit(credit_id);
    settle(queue_.release(id, service_time, env_.time->now()));
}

rpc::credit_reply home::grant(const rpc::credit_request& request)
{
    const absl::MutexLock lock(&mutex_);
    const auto now = env_.time->now();
    rpc::credit_reply reply;
    reply.target = plan_.backend.name;
    if (closed_ || !is_active(now) || is_failing(now)) {
        return reply;
    }
    ledger_.expire(now);
    const auto granted =
        ledger_.grant(request.requester, request.wanted_slots, ledger_load(now), now);
    if (granted) {
        reply.credit_id = granted->id;
        reply.slots = granted->slots;
        reply.lifetime = granted->lifetime;
    }
    return reply;
}

void home::note_poll(const backend::backend_poll& poll)
{
    const absl::MutexLock lock(&mutex_);
    const auto now = env_.time->now();
    if (!poll.health && !poll.load) {
        ++failed_polls_;
        if (failed_polls_ == failed_poll_limit) {
            log(log_part::policy)
                .warn("backend server {} does not answer: {}", plan_.backend.name.text(),
                      poll.reason);
        }
        return;
    }
    failed_polls_ = 0;
    if (poll.health && poll.health->incarnation != backend_incarnation_) {
        // The first report is not a restart: the backend server may be warm.
        if (!backend_incarnation_.empty()) {
            log(log_part::policy).info("backend server {} restarted", plan_.backend.name.text());
            queue_.restart(now);
        }
        backend_incarnation_ = poll.health->incarnation;
    }
    if (poll.load && successor_) {
        queue_.set_floor(poll.load->in_use, now);
    }
    settle(queue_.expire(now));
}

void home::tick()
{
    const absl::MutexLock lock(&mutex_);
    const auto now = env_.time->now();
    static_cast<void>(is_active(now));
    ledger_.expire(now);
    settle(queue_.expire(now));
}

void home::note_result(const backend::dispatch_result& result)
{
    if (std::holds_alternative<backend::responded>(result) ||
        std::holds_alternative<backend::shed>(result)) {
        const absl::MutexLock lock(&mutex_);
        last_response_ = env_.time->now();
    }
}

bool home::is_failing(steady_time now) const
{
    return failed_polls_ >= failed_poll_limit && now - last_response_ > response_is_recent;
}

policy::home_load home::ledger_load(steady_time now) const
{
    return {queue_.admitted_slots(now), queue_.local_in_use(now), queue_.waiting()};
}

rpc::backend_load home::load() const
{
    const absl::MutexLock lock(&mutex_);
    const auto now = env_.time->now();
    rpc::backend_load result;
    result.backend = plan_.backend.name;
    result.admitted_slots = closed_ || is_failing(now) ? 0 : queue_.admitted_slots(now);
    result.in_use = queue_.in_use(now);
    result.queued = queue_.waiting();
    return result;
}

std::uint32_t home::spare_slots() const
{
    const absl::MutexLock lock(&mutex_);
    const auto now = env_.time->now();
    return closed_ || is_failing(now) ? 0 : ledger_.spare(ledger_load(now), now);
}

std::shared_ptr<backend::backend_client> home::client() const
{
    const absl::MutexLock lock(&mutex_);
    return client_;
}

home_plan home::plan() const
{
    const absl::MutexLock lock(&mutex_);
    return plan_;
}

nlohmann::json home::state() const
{
    const absl::MutexLock lock(&mutex_);
    const auto now = env_.time->now();
    return {{"service", plan_.service.name.text()},
            {"slots", plan_.backend.slots},
            {"admitted_slots", queue_.admitted_slots(now)},
            {"in_use", queue_.in_use(now)},
            {"peak_in_use", peak_in_use_},
            {"queued", queue_.waiting()},
            {"credit_granted", ledger_.committed(now)},
            {"credit_in_use", ledger_.in_use()},
            {"answers", !is_failing(now)},
            {"incarnation", backend_incarnation_}};
}

} // namespace toucan::daemon
