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

/// After this many failed polls in a row the home sends no requests to the backend server, unless
/// it answered a request within `recent_response_window`.
constexpr std::uint32_t failed_poll_limit = 2;
constexpr std::chrono::seconds recent_response_window{2};
constexpr milliseconds moved_retry_after{200};
constexpr milliseconds credit_retry_after{500};

/// A new home admits nothing for this long, until its predecessor has certainly learned of the
/// change in a sync.
constexpr milliseconds activation_delay = config::sync_interval + milliseconds(500);

not_run to_not_run(const policy::refuse& it)
{
    return {std::string(policy::to_string(it.reason)), it.retry_after};
}

const char* credit_refusal_text(policy::credit_check check)
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

home::home(home_assignment assignment, std::shared_ptr<backend::backend_client> client,
           environment env, std::uint64_t first_credit_id, bool may_have_predecessor)
    : env_(std::move(env)), assignment_(std::move(assignment)), client_(std::move(client)),
      queue_(policy::settings_for(assignment_.service, assignment_.backend.slots), env_.time->now(),
             false),
      ledger_({}, first_credit_id, env_.time->now(), may_have_predecessor),
      received_shift_(assignment_.received_shift, assignment_.service.shift.interval,
                      shift_clock_now()),
      active_from_(env_.time->now() + activation_delay), last_valid_(env_.time->now()),
      may_have_predecessor_(may_have_predecessor)
{
}

steady_time home::shift_clock_now() const
{
    return env_.time->now() + std::chrono::duration_cast<steady_time::duration>(env_.epoch_offset);
}

void home::configure(home_assignment assignment, std::shared_ptr<backend::backend_client> client)
{
    const absl::MutexLock lock(&mutex_);
    client_ = std::move(client);
    if (assignment == assignment_) {
        return;
    }
    queue_.configure(policy::settings_for(assignment.service, assignment.backend.slots));
    if (assignment.service.shift.interval == assignment_.service.shift.interval) {
        received_shift_.configure(assignment.received_shift);
    }
    else {
        received_shift_ = policy::shift_ramp(assignment.received_shift,
                                             assignment.service.shift.interval, shift_clock_now());
    }
    assignment_ = std::move(assignment);
}

void home::close(const std::string& reason)
{
    const absl::MutexLock lock(&mutex_);
    if (close_reason_) {
        return;
    }
    close_reason_ = reason;
    for (auto& [id, it] : waiting_) {
        queue_.cancel(id);
        it->refusal = not_run{reason, moved_retry_after};
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
    const auto& acquired_slot = std::get<slot>(acquired);
    const auto sent = env_.time->now();
    // The membership view may have become stale while the request waited, for example in a paused
    // process.
    const operations::dispatch_guard still_home([&] { return may_dispatch() && guard.allows(); });
    auto result = acquired_slot.client->send(request.request, deadline, still_home);
    const bool answered = std::holds_alternative<backend::responded>(result);
    update_last_response(result);
    release(acquired_slot.id, request.credit_id,
            answered ? env_.time->now() - sent : std::chrono::nanoseconds(0));
    return backend::to_outcome(std::move(result));
}

std::variant<home::slot, not_run> home::acquire(const rpc::forward_request& request,
                                                steady_time deadline)
{
    const absl::MutexLock lock(&mutex_);
    const auto now = env_.time->now();
    if (auto refusal = check_and_reserve(request, now)) {
        return *std::move(refusal);
    }
    const auto id = next_request_id_++;
    pending_request pending;
    waiting_.emplace(id, &pending);
    const auto admission =
        queue_.admit({id, assignment_.service.priority, now, deadline, request.credit_id}, now);
    notify_waiters(admission.others);
    if (std::holds_alternative<policy::admitted>(admission.decision)) {
        pending.started = true;
    }
    else if (const auto* refused = std::get_if<policy::refuse>(&admission.decision)) {
        pending.refusal = to_not_run(*refused);
    }
    const auto decided = [&pending] {
        return pending.started || pending.refusal;
    };
    const auto time_left = deadline - env_.time->now();
    mutex_.AwaitWithTimeout(absl::Condition(&decided), absl::FromChrono(time_left));
    waiting_.erase(id);
    if (pending.started) {
        peak_in_use_ = std::max(peak_in_use_, queue_.in_use(env_.time->now()));
        return slot{id, client_};
    }
    if (!pending.refusal) {
        queue_.cancel(id);
        pending.refusal = not_run{"no slot before the deadline", credit_retry_after};
    }
    release_credit(request.credit_id);
    if (is_shifted(request)) {
        received_shift_.refund(shift_clock_now());
    }
    return *std::move(pending.refusal);
}

std::optional<not_run> home::check_and_reserve(const rpc::forward_request& request, steady_time now)
{
    if (close_reason_) {
        return not_run{*close_reason_, moved_retry_after};
    }
    if (!is_active(now)) {
        return not_run{std::string(refusal_text::not_home), moved_retry_after};
    }
    if (is_unresponsive(now)) {
        return not_run{
            fmt::format("backend server {} does not answer", assignment_.backend.name.text()),
            moved_retry_after};
    }
    if (request.credit_id != 0 && env_.enforce_credit) {
        const auto check = ledger_.accept(request.credit_id, now);
        if (check != policy::credit_check::accepted) {
            return not_run{credit_refusal_text(check), credit_retry_after};
        }
    }
    if (is_shifted(request) && env_.enforce_shift &&
        !received_shift_.try_spend(shift_clock_now())) {
        release_credit(request.credit_id);
        return not_run{
            std::string(policy::to_string(policy::refusal_reason::shift_cap)),
            std::chrono::ceil<milliseconds>(received_shift_.until_renewal(shift_clock_now()))};
    }
    return std::nullopt;
}

bool home::is_active(steady_time now)
{
    const bool valid = env_.is_valid();
    // During a gap in validity another daemon may have been the home, and its requests may still be
    // in progress.
    if (now - last_valid_ > config::home_validity) {
        active_from_ = now + activation_delay;
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
    return !request.client_region.empty() && request.client_region != assignment_.region;
}

void home::notify_waiters(const policy::slot_changes& changes)
{
    for (const auto id : changes.started) {
        if (const auto it = waiting_.find(id); it != waiting_.end()) {
            it->second->started = true;
        }
    }
    for (const auto& refused : changes.refused) {
        if (const auto it = waiting_.find(refused.id); it != waiting_.end()) {
            it->second->refusal = to_not_run(refused.why);
        }
    }
}

void home::release_credit(std::uint64_t credit_id)
{
    if (credit_id != 0 && env_.enforce_credit) {
        ledger_.release(credit_id);
    }
}

void home::release(std::uint64_t id, std::uint64_t credit_id, std::chrono::nanoseconds service_time)
{
    const absl::MutexLock lock(&mutex_);
    release_credit(credit_id);
    notify_waiters(queue_.release(id, service_time, env_.time->now()));
}

rpc::credit_reply home::grant(const rpc::credit_request& request)
{
    const absl::MutexLock lock(&mutex_);
    const auto now = env_.time->now();
    rpc::credit_reply reply;
    reply.target = assignment_.backend.name;
    if (close_reason_ || !is_active(now) || is_unresponsive(now)) {
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

void home::apply_poll(const backend::backend_poll& poll)
{
    const absl::MutexLock lock(&mutex_);
    const auto now = env_.time->now();
    if (!poll.health && !poll.load) {
        ++failed_polls_;
        if (failed_polls_ == failed_poll_limit) {
            log(log_part::policy)
                .warn("backend server {} failed consecutive polls and gets no requests until it "
                      "answers: {}",
                      assignment_.backend.name.text(), poll.reason);
        }
        return;
    }
    failed_polls_ = 0;
    if (poll.health && poll.health->incarnation != backend_incarnation_) {
        // The first incarnation seen does not indicate a restart: the backend server may be warm.
        if (!backend_incarnation_.empty()) {
            log(log_part::policy)
                .info("backend server {} restarted; its admitted slots ramp up again",
                      assignment_.backend.name.text());
            queue_.restart(now);
        }
        backend_incarnation_ = poll.health->incarnation;
    }
    if (poll.load && may_have_predecessor_) {
        queue_.set_reported_in_use(poll.load->in_use, now);
    }
    notify_waiters(queue_.expire(now));
}

void home::tick()
{
    const absl::MutexLock lock(&mutex_);
    const auto now = env_.time->now();
    static_cast<void>(is_active(now));
    ledger_.expire(now);
    notify_waiters(queue_.expire(now));
}

void home::update_last_response(const backend::dispatch_result& result)
{
    if (std::holds_alternative<backend::responded>(result) ||
        std::holds_alternative<backend::shed>(result)) {
        const absl::MutexLock lock(&mutex_);
        last_response_ = env_.time->now();
    }
}

bool home::is_unresponsive(steady_time now) const
{
    return failed_polls_ >= failed_poll_limit && now - last_response_ > recent_response_window;
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
    result.backend = assignment_.backend.name;
    result.admitted_slots = close_reason_ || is_unresponsive(now) ? 0 : queue_.admitted_slots(now);
    result.in_use = queue_.in_use(now);
    result.queued = queue_.waiting();
    return result;
}

std::uint32_t home::spare_slots() const
{
    const absl::MutexLock lock(&mutex_);
    const auto now = env_.time->now();
    return close_reason_ || is_unresponsive(now) ? 0 : ledger_.spare(ledger_load(now), now);
}

std::shared_ptr<backend::backend_client> home::client() const
{
    const absl::MutexLock lock(&mutex_);
    return client_;
}

home_assignment home::assignment() const
{
    const absl::MutexLock lock(&mutex_);
    return assignment_;
}

nlohmann::json home::state() const
{
    const absl::MutexLock lock(&mutex_);
    const auto now = env_.time->now();
    return {{"service", assignment_.service.name.text()},
            {"slots", assignment_.backend.slots},
            {"admitted_slots", queue_.admitted_slots(now)},
            {"in_use", queue_.in_use(now)},
            {"peak_in_use", peak_in_use_},
            {"queued", queue_.waiting()},
            {"credit_granted", ledger_.committed(now)},
            {"credit_in_use", ledger_.in_use()},
            {"answers", !is_unresponsive(now)},
            {"incarnation", backend_incarnation_}};
}

} // namespace toucan::daemon
