#include "call.h"

#include "broken_responses.h"
#include "dispatcher.h"
#include "event_log.h"
#include "tunables.h"

#include "toucan/base/stable_hash.h"
#include "toucan/base/text.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucan::edge {

namespace {

/// Answer of another server that has the address now.
constexpr int misdirected_status = 421;

/// Whether a caller takes a status as proof that its request has not run and will not run.
bool implies_not_run(int status)
{
    return status == 408 || status == misdirected_status || status == 429 || status == 503;
}

/// Time for which the caller still waits, at most `longest_ms`; `longest_ms` if the header is
/// missing or malformed.
milliseconds caller_time_limit(const http_request& it, const std::string& header)
{
    constexpr std::int64_t longest_ms = 3'600'000;
    const auto value = parse_number<std::int64_t>(find_header(it.headers, header));
    return milliseconds(value && *value >= 0 ? std::min(*value, longest_ms) : longest_ms);
}

} // namespace

route_state::route_state(const route& it, metrics& all)
    : latency(it.objective / 2),
      request_ms(all.histogram("toucan_edge_request_ms", fmt::format("route=\"{}\"", it.name))),
      attempt_ms(all.histogram("toucan_edge_attempt_ms", fmt::format("route=\"{}\"", it.name)))
{
}

call::call(dispatcher& owner, parsed_request request, std::shared_ptr<const routing_config> config,
           const access& granted, http_server::respond respond)
    : owner_(owner), request_(std::move(request.request)),
      body_(std::make_shared<const std::string>(std::exchange(request_.body, {}))),
      charge_(std::move(request.charge)), config_(std::move(config)), route_(*granted.matched),
      workspace_(granted.caller), key_digest_(granted.key), route_state_(owner.state(route_)),
      respond_(std::move(respond)), timer_(owner.loop_)
{
    const auto& names = owner_.names_;
    id_ = std::string(find_header(request_.headers, names.attempt_id));
    const auto now = owner_.time_.now();
    arrived_ = now;
    counted_at_ = now;
    key_ = {.late = false,
            .workspace_priority = workspace_ == nullptr ? 0 : workspace_->priority,
            .route_priority = route_.priority,
            .flow = workspace_ == nullptr ? 0 : stable_hash(workspace_->name.text()),
            .cost = mean_service_time(),
            .due = now + route_.objective,
            .number = owner_.next_call_++};
    deadline_ = now + std::min(route_.timeout, caller_time_limit(request_, names.time_left_ms));
    hedge_at_ = steady_time::max();
    remove_header(request_.headers, names.time_left_ms);
    remove_header(request_.headers, names.expected_backend);
    remove_header(request_.headers, names.workspace);
    if (config_->workspaces().requires_key()) {
        remove_header(request_.headers, names.authorization);
    }
    restrict_regions(&route_, granted.key_owner, config_->version());
    const auto object = find_cookie(request_.headers, names.object_cookie);
    // Without an object cookie the hash comes from the call's number, which spreads these requests
    // evenly over the backend servers.
    has_object_ = !object.empty();
    object_ = object.empty() ? key_.number * 0x9e3779b97f4a7c15ULL
                             : stable_hash(object, stable_hash(route_.name));
}

void call::start()
{
    service_ = dispatcher::choose_service(route_, *route_state_);
    auto& state = owner_.state(service_);
    state.retries.count_request(arrived_);
    state.demand.add(mean_service_time(), arrived_);
    owner_.open_calls_[key_.number] = weak_from_this();
    owner_.dispatch_or_queue(shared_from_this());
    if (!done_) {
        arm_timer();
    }
}

steady_time call::latest_on_time_dispatch() const
{
    return arrived_ + route_.objective - route_state_->latency.needed_within(route_.objective);
}

void call::set_late(bool late)
{
    key_.late = late;
    key_.due = late ? deadline_ : arrived_ + route_.objective;
}

bool call::tried(std::uint32_t id) const
{
    return std::find(tried_.begin(), tried_.end(), id) != tried_.end();
}

void call::restrict_regions(const route* to, const workspace* by, std::uint64_t version)
{
    if (to != nullptr && !to->unreadable) {
        route_regions_ = allowed_regions(to->allowed_regions);
    }
    if (by != nullptr && !by->unreadable) {
        workspace_regions_ = allowed_regions(by->allowed_regions);
    }
    regions_ = route_regions_.common_with(workspace_regions_);
    regions_version_ = version;
}

void call::update_regions()
{
    const auto& config = *owner_.config_;
    restrict_regions(config.find(route_.host, request_.path),
                     key_digest_ ? config.workspaces().find(*key_digest_) : nullptr,
                     config.version());
    if (waiting_ && regions_.none()) {
        refuse("route and workspace have no allowed region in common");
    }
}

bool call::end_if_denied()
{
    return waiting_ && answer_if_denied();
}

bool call::answer_if_denied()
{
    const auto denial = owner_.check_key(*this);
    if (denial == access_denial::none) {
        return false;
    }
    if (denial != access_denial::unknown_key) {
        refuse(std::string(reason_of(denial)));
        return true;
    }
    log_request_event("key_withdrawn", "id={} workspace={} waited_ms={}", id_,
                      workspace_->name.text(), waited_ms());
    send_response({status_of(denial), {}, {}});
    return true;
}

milliseconds call::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(deadline_ - owner_.time_.now());
}

std::int64_t call::waited_ms() const
{
    return std::chrono::duration_cast<milliseconds>(owner_.time_.now() - arrived_).count();
}

http_request call::build_request(const backend_server& to) const
{
    auto message = request_;
    message.headers.push_back({owner_.names_.time_left_ms,
                               std::to_string(std::max<std::int64_t>(time_left().count(), 1))});
    message.headers.push_back({owner_.names_.expected_backend, to.record.name.text()});
    if (owner_.config_->workspaces().requires_key()) {
        // The request may have arrived before the configuration had workspaces.
        remove_header(message.headers, owner_.names_.authorization);
    }
    if (workspace_ != nullptr) {
        message.headers.push_back({owner_.names_.workspace, workspace_->name.text()});
    }
    return message;
}

response_origin call::origin_of(const http_response& it) const
{
    const auto id = find_header(it.headers, owner_.names_.attempt_id);
    if (id.empty()) {
        return response_origin::unnamed;
    }
    return id == id_ ? response_origin::this_request : response_origin::other_request;
}

void call::dispatch(const fleet::server& to, attempt_kind kind)
{
    const auto now = owner_.time_.now();
    if (owner_.fleet_.cold(*to)) {
        to->cold.try_take(now);
    }
    if (to->rate.limit()) {
        to->rate.record_request(now);
    }
    owner_.shift_.count(!to->in_local_region, now);
    owner_.region_traffic_.count(to->region, to->region == planned_region_);
    if (workspace_ != nullptr) {
        owner_.workspaces_.record_sent(*workspace_, counted_at_);
        counted_at_ = now;
    }
    tried_.push_back(to->id);
    const attempt it{.server = to,
                     .connection = owner_.fleet_.take_connection(to),
                     .started = now,
                     .number = next_attempt_++,
                     .kind = kind,
                     .without_key =
                         owner_.config_->workspaces().requires_key() ||
                         find_header(request_.headers, owner_.names_.authorization).empty(),
                     .load = expected_load(*to)};
    owner_.fleet_.add_load(to, it.load, it.started);
    owner_.load_monitor_.record_choice(*to);
    attempts_.push_back(it);
    sent_to_ +=
        fmt::format("{}{}@{}ms:load={:.1f}/{}", sent_to_.empty() ? "" : ",", to->record.name.text(),
                    waited_ms(), owner_.fleet_.load(*to), to->record.slots);
    if (regions_.restricted()) {
        record_restricted(*to);
    }
    if (idempotent() && !hedged_) {
        const auto high_response_time = high_service_time() + to->round_trip;
        const auto earliest = std::chrono::duration_cast<std::chrono::nanoseconds>(
            tunables::min_hedge_delay_share * route_.objective);
        hedge_at_ = now + std::max<std::chrono::nanoseconds>(high_response_time, earliest);
    }
    http_connection::exchange_limits limits;
    limits.connect_timeout =
        std::min(tunables::connect_timeout, std::max(time_left(), milliseconds(1)));
    if (!idempotent()) {
        // The request cannot be sent again, so a server that is unreachable for a while keeps its
        // work, and its response still counts.
        limits.silence_timeout = std::max(time_left(), default_silence_timeout);
    }
    it.connection->set_send_check([self = shared_from_this(), number = it.number] {
        const auto* found = self->find_attempt(number);
        return found != nullptr && self->may_send(*found);
    });
    it.connection->send(
        build_request(*to), body_, limits,
        [self = shared_from_this()](const http_response& response) {
            return self->origin_of(response);
        },
        [self = shared_from_this(), number = it.number](exchange_result result) {
            self->on_attempt_end(number, std::move(result));
        });
    if (!done_) {
        arm_timer();
    }
}

void call::record_restricted(const backend_server& to) const
{
    owner_.region_traffic_.count_restricted(to.region);
    log_placement_event("restricted",
                        "id={} route={} workspace={} allowed={} backend={} region={} domain={} "
                        "config_on_arrival={} config={} attempt={} waited_ms={}",
                        id_, route_.name, workspace_ == nullptr ? "" : workspace_->name.text(),
                        regions_.text(), to.record.name.text(), to.region.text(),
                        to.record.failure_domain.text(), config_->version(), regions_version_,
                        tried_.size(), waited_ms());
}

double call::expected_load(const backend_server& to) const
{
    const auto service_time = std::chrono::duration<double>(mean_service_time()).count();
    const auto network_time = std::chrono::duration<double>(to.round_trip).count();
    return service_time <= 0 ? 1 : service_time / (service_time + network_time);
}

void call::release_slot(const attempt& it)
{
    owner_.fleet_.remove_load(it.server, it.load, it.started);
    owner_.record_slot_release(*this);
}

const call::attempt* call::find_attempt(std::uint64_t number) const
{
    const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                    [&](const attempt& it) { return it.number == number; });
    return found == attempts_.end() ? nullptr : &*found;
}

bool call::may_send(const attempt& it) const
{
    const bool passes_key_on = !it.without_key && owner_.config_->workspaces().requires_key();
    return !passes_key_on && allowed_in(it.server->region) &&
           owner_.fleet_.may_receive(*it.server) && owner_.check_key(*this) == access_denial::none;
}

void call::on_withheld(const attempt& it)
{
    log_request_event("withheld", "id={} route={} allowed={} backend={} region={} config={}", id_,
                      route_.name, regions_.text(), it.server->record.name.text(),
                      it.server->region.text(), regions_version_);
    owner_.fleet_.remove_load(it.server, it.load, it.started);
    owner_.schedule_dispatch();
    std::erase(tried_, it.server->id);
    hedge_at_ = steady_time::max();
    if (it.kind == attempt_kind::resend) {
        owner_.state(service_).retries.put_back(it.started);
    }
    if (done_ || !attempts_.empty()) {
        return;
    }
    if (it.kind == attempt_kind::resend) {
        resend_or_answer("request may not be sent any more");
        return;
    }
    if (respond_ == nullptr) {
        finish();
        return;
    }
    if (!answer_if_denied()) {
        owner_.dispatch_or_queue(shared_from_this());
    }
    if (!done_) {
        arm_timer();
    }
}

void call::on_attempt_end(std::uint64_t number, exchange_result result)
{
    const auto* found = find_attempt(number);
    if (found == nullptr) {
        return;
    }
    const attempt it = *found;
    std::erase_if(attempts_, [&](const attempt& other) { return other.number == number; });
    owner_.fleet_.return_connection(it.server, it.connection);
    if (result.end == exchange_end::withheld) {
        on_withheld(it);
        return;
    }
    const auto now = owner_.time_.now();
    switch (result.end) {
    case exchange_end::response:
        on_response(it, std::move(result));
        break;
    case exchange_end::not_sent:
        it.server->health.add(policy::backend_signal::unreachable, now);
        on_not_run(it, result.reason);
        break;
    case exchange_end::incomplete:
        it.server->health.add(policy::backend_signal::failed, now);
        on_incomplete_response(it, result.reason, result.fault);
        break;
    case exchange_end::withheld:
        break;
    }
    release_slot(it);
}

bool call::is_refusal(const http_response& it) const
{
    return !find_header(it.headers, owner_.names_.not_run).empty() ||
           it.status == misdirected_status;
}

std::string_view call::find_doubt(const exchange_result& result) const
{
    const auto& names = owner_.names_;
    const auto& answer = result.response.response;
    const bool names_another =
        std::any_of(answer.headers.begin(), answer.headers.end(), [&](const http_header& it) {
            return equals_ignoring_case(it.name, names.attempt_id) && it.value != id_;
        });
    if (names_another) {
        return "response names several requests";
    }
    const bool success = answer.status / 100 == 2;
    if (is_refusal(answer)) {
        if (success) {
            return "2xx response says that the request has not run";
        }
        // It may be a copy of the refusal of an earlier request, while this one runs.
        return result.reused_connection && origin_of(answer) == response_origin::unnamed
                   ? "refusal without an attempt id on a connection used before"
                   : "";
    }
    const bool authenticated = !find_header(answer.headers, names.signature).empty() &&
                               !find_header(answer.headers, names.attempt_id).empty();
    return success && !authenticated ? "2xx response lacks the signature or the attempt id" : "";
}

void call::on_response(const attempt& it, exchange_result result)
{
    const auto& names = owner_.names_;
    const auto now = owner_.time_.now();
    auto& answer = result.response.response;
    const int status = answer.status;
    if (const auto doubt = find_doubt(result); !doubt.empty()) {
        it.server->health.add(policy::backend_signal::failed, now);
        on_incomplete_response(it, std::string(doubt), response_fault::unproven);
        return;
    }
    const auto notice = read_notice(answer, names);
    if (status != misdirected_status) {
        record_notice(it, answer, notice);
    }
    if (is_refusal(answer)) {
        owner_.load_monitor_.record_refusal(*it.server);
        const bool had_free_slots = owner_.fleet_.load(*it.server) <= it.server->record.slots;
        if (status == misdirected_status) {
            it.server->health.add(policy::backend_signal::replaced, now);
        }
        else if (had_free_slots && !notice.back_off) {
            it.server->health.add(policy::backend_signal::shed, now);
        }
        on_not_run(it,
                   fmt::format("backend server answered {} without running the request", status));
        return;
    }
    if (status >= 500) {
        it.server->health.add(policy::backend_signal::failed, now);
        on_server_error(it, std::move(answer));
        return;
    }
    it.server->health.add(policy::backend_signal::good, now);
    const auto service_time = now - it.started - it.server->round_trip;
    // A slowness that the server states itself is not evidence of a fault.
    const double stated = notice.load ? std::max(notice.load->slowness, 1.0) : 1.0;
    it.server->health.add_latency(route_state_->latency.ratio(service_time) / stated);
    route_state_->latency.add(service_time);
    owner_.state(service_).service_time.add(service_time);
    route_state_->attempt_ms->add(now - it.started);
    log_late_response(it);
    send_response(std::move(answer));
}

void call::record_notice(const attempt& it, const http_response& response,
                         const server_notice& notice) const
{
    owner_.fleet_.record_notice(it.server, notice, id_);
    owner_.load_monitor_.record_notice(notice);
    if (notice.load) {
        const bool refused = !find_header(response.headers, owner_.names_.not_run).empty();
        const auto error = owner_.fleet_.record_load(it.server, *notice.load, it.started, !refused);
        if (error) {
            owner_.load_monitor_.record_error(*it.server, *error);
        }
    }
    // A refusal need not carry all headers of a response.
    const bool ran = !find_header(response.headers, owner_.names_.signature).empty();
    if (notice.rate_limit || ran) {
        owner_.fleet_.record_rate_limit(it.server, notice.rate_limit);
    }
}

void call::log_late_response(const attempt& it) const
{
    const auto now = owner_.time_.now();
    if (now - arrived_ <= route_.objective) {
        return;
    }
    if (workspace_ != nullptr) {
        owner_.workspaces_.count(*workspace_, workspace_outcome::late);
    }
    const auto ms = [](std::chrono::nanoseconds span) {
        return std::chrono::duration_cast<milliseconds>(span).count();
    };
    log_request_event("late",
                      "id={} route={} service={} objective_ms={} waited_ms={} attempt_ms={} "
                      "mean_ms={} round_trip_ms={} local_region={} sent_to=\"{}\"",
                      id_, route_.name, service_.text(), route_.objective.count(),
                      ms(it.started - arrived_), ms(now - it.started), ms(mean_service_time()),
                      ms(it.server->round_trip), it.server->in_local_region, sent_to_);
}

void call::on_not_run(const attempt& it, const std::string& reason)
{
    log_request_event("not_run", "id={} backend={} reason=\"{}\"", id_,
                      it.server->record.name.text(), reason);
    if (!done_ && attempts_.empty()) {
        resend_or_answer(reason);
    }
}

void call::resend_or_answer(const std::string& reason)
{
    if (try_resend(reason)) {
        return;
    }
    if (may_have_run_) {
        send_unknown_outcome(502, reason);
        return;
    }
    refuse(reason);
}

void call::on_incomplete_response(const attempt& it, const std::string& reason,
                                  std::optional<response_fault> fault)
{
    may_have_run_ = true;
    log_request_event(
        "broken", "id={} backend={} fault={} reason=\"{}\" after_ms={}", id_,
        it.server->record.name.text(), fault ? name_of(*fault) : "none", reason,
        std::chrono::duration_cast<milliseconds>(owner_.time_.now() - it.started).count());
    if (fault) {
        count_broken_response(owner_.metrics_, response_source::backend, *fault);
    }
    if (done_ || !attempts_.empty()) {
        return;
    }
    if (!idempotent() || !try_resend(reason)) {
        send_unknown_outcome(502, reason);
    }
}

void call::on_server_error(const attempt& it, http_response response)
{
    may_have_run_ = true;
    log_request_event("failed", "id={} backend={} status={}", id_, it.server->record.name.text(),
                      response.status);
    if (done_ || !attempts_.empty()) {
        return;
    }
    if (idempotent() && try_resend("backend server answered with a 5xx status")) {
        return;
    }
    if (implies_not_run(response.status)) {
        send_unknown_outcome(
            502, fmt::format("backend server answered {} without saying that it did not "
                             "run the request",
                             response.status));
        return;
    }
    send_response(std::move(response));
}

bool call::try_resend(const std::string& reason)
{
    const auto now = owner_.time_.now();
    if (tried_.size() >= route_.max_attempts || now + mean_service_time() / 2 >= deadline_ ||
        respond_ == nullptr || regions_.none() || owner_.check_key(*this) != access_denial::none) {
        return false;
    }
    auto& state = owner_.state(service_);
    if (state.retries.remaining(now) < 1) {
        return false;
    }
    const auto to = owner_.choose_server(*this);
    if (!to) {
        return false;
    }
    state.retries.try_take(now);
    log_request_event("resend", "id={} backend={} attempt={} reason=\"{}\"", id_,
                      to->record.name.text(), tried_.size() + 1, reason);
    ++owner_.counters_.resent;
    dispatch(to, attempt_kind::resend);
    return true;
}

void call::refuse(const std::string& reason)
{
    if (done_) {
        return;
    }
    const auto longest = std::clamp<milliseconds>(time_left() / 3, tunables::min_retry_after,
                                                  tunables::max_retry_after);
    const auto back_off = owner_.shortest_back_off(*this).value_or(std::chrono::nanoseconds(0));
    // Before the first server takes requests again, another attempt would be refused too.
    const auto retry_after =
        std::max(owner_.retry_delay(*this, longest), std::chrono::ceil<milliseconds>(back_off));
    log_request_event("refused",
                      "id={} route={} service={} reason=\"{}\" waited_ms={} "
                      "ahead={} retry_after_ms={} sent_to=\"{}\" config={}",
                      id_, route_.name, service_.text(), reason, waited_ms(),
                      owner_.state(service_).waiting.ahead_of(key_).requests, retry_after.count(),
                      sent_to_, config_->version());
    ++owner_.counters_.not_run;
    if (workspace_ != nullptr) {
        owner_.workspaces_.count(*workspace_, workspace_outcome::no_capacity);
    }
    http_response response{503, {}, {}};
    response.headers.push_back(
        {"Retry-After", fmt::format("{:.3f}", static_cast<double>(retry_after.count()) / 1e3)});
    send_response(std::move(response));
}

void call::send_unknown_outcome(int status, const std::string& reason)
{
    log_request_event(
        "unknown",
        "id={} route={} service={} status={} reason=\"{}\" waited_ms={} sent_to=\"{}\" config={}",
        id_, route_.name, service_.text(), status, reason, waited_ms(), sent_to_,
        config_->version());
    ++owner_.counters_.unknown;
    send_response({status, {}, {}});
}

void call::send_response(http_response response)
{
    if (done_) {
        return;
    }
    if (response.status / 100 == 2) {
        ++owner_.counters_.completed;
        route_state_->request_ms->add(owner_.time_.now() - arrived_);
    }
    if (find_header(response.headers, owner_.names_.attempt_id).empty() && !id_.empty()) {
        response.headers.push_back({owner_.names_.attempt_id, id_});
    }
    remove_header(response.headers, owner_.names_.load);
    const auto respond = std::move(respond_);
    respond_ = nullptr;
    finish();
    if (respond) {
        respond(std::move(response));
    }
}

void call::end_with_process()
{
    if (done_ || respond_ == nullptr) {
        return;
    }
    if (attempts_.empty() && !may_have_run_) {
        refuse("daemon stops before the request could complete");
        return;
    }
    send_unknown_outcome(504, "daemon stops while the request is in progress");
}

void call::finish()
{
    done_ = true;
    owner_.open_calls_.erase(key_.number);
    timer_.cancel();
    if (workspace_ != nullptr && tried_.empty()) {
        owner_.workspaces_.refund(*workspace_, arrived_);
    }
    owner_.remove_from_queue(*this);
    abort_attempts();
}

void call::abort_attempts()
{
    const auto open = std::exchange(attempts_, {});
    for (const auto& it : open) {
        it.connection->abort();
        owner_.fleet_.return_connection(it.server, it.connection);
        release_slot(it);
    }
}

void call::cancel()
{
    respond_ = nullptr;
    if (done_) {
        return;
    }
    log_request_event("caller_left", "id={} waited_ms={} in_progress={} sent_to=\"{}\"", id_,
                      waited_ms(), attempts_.size(), sent_to_);
    ++owner_.counters_.caller_left;
    if (idempotent() || attempts_.empty()) {
        const auto keep = shared_from_this();
        finish();
    }
}

void call::arm_timer()
{
    auto next = std::min(deadline_, hedge_at_);
    if (waiting_) {
        const auto latest_on_time = latest_on_time_dispatch();
        const auto latest_in_time = deadline_ - mean_service_time();
        next = std::min(next, key_.late ? latest_in_time : latest_on_time);
        next = std::min(next, owner_.latest_dispatch(*this));
    }
    timer_.expires_at(next);
    timer_.async_wait([self = weak_from_this()](error_code ec) {
        const auto it = self.lock();
        if (!ec && it && !it->done_) {
            it->on_timer();
        }
    });
}

void call::on_timer()
{
    const auto keep = shared_from_this();
    const auto now = owner_.time_.now();
    if (now >= deadline_) {
        for (const auto& it : attempts_) {
            it.server->health.add(policy::backend_signal::failed, now);
        }
        if (!attempts_.empty() || may_have_run_) {
            send_unknown_outcome(504, "deadline passed while the request was in progress");
        }
        else {
            refuse("deadline passed in the queue");
        }
        return;
    }
    if (waiting_) {
        owner_.reevaluate_queued(*this);
    }
    else if (now >= hedge_at_) {
        hedge_at_ = steady_time::max();
        hedged_ = true;
        if (!attempts_.empty() && idempotent()) {
            try_resend("no response within the hedge delay");
        }
    }
    if (!done_) {
        arm_timer();
    }
}

} // namespace toucan::edge
