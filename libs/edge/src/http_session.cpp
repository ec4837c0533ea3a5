#include "http_session.h"

#include "event_log.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace toucan::edge {

namespace {

/// Requests of one connection that may be in progress at the same time.
constexpr std::size_t max_overlapping_requests = 16;
/// Received bytes of requests that cannot start yet, above which reading pauses.
constexpr std::size_t max_pipelined_bytes = 64U << 10U;

/// Bytes of responses that the caller has not read, above which no further request is read. The
/// kernel holds some more.
constexpr std::size_t max_unsent_bytes = 64U << 10U;
/// Bodies up to this size are copied and sent in one write with their head.
constexpr std::size_t max_copied_body = 16U << 10U;
/// Retry-After of a request that does not fit the memory: about the time for stalled connections to
/// be closed and for others to end.
constexpr const char* memory_retry_after = "1.000";
/// Time for which a connection stays open after a response has announced its end. Longer than the
/// announcement takes to reach a distant caller and a request sent before that takes to arrive.
constexpr milliseconds announced_end_delay{500};
/// Time after which a connection is looked at again whose data waited at its timeout.
constexpr milliseconds unread_data_delay{20};

constexpr int service_unavailable = 503;

http_response empty_response(int status)
{
    return {status, {}, {}};
}

} // namespace

http_session::http_session(http_server& server, tcp::socket socket)
    : server_(server), stream_(std::make_shared<stream>(std::move(socket))),
      limits_(server.limits_()), reader_(limits_.max_header_bytes, limits_.max_body_bytes),
      timer_(server.loop_), started_(server.time_.now()), wait_started_(started_)
{
}

void http_session::start()
{
    charge_ =
        server_.registry_->add([weak = weak_from_this(), connection = std::weak_ptr(stream_)] {
            const auto self = weak.lock();
            const auto open = connection.lock();
            if (self && !self->closed_) {
                self->evict();
            }
            else if (open) {
                open->close();
            }
        });
    stream_->set_charge(charge_);
    stream_->start({[self = weak_from_this()](std::string& in) {
                        if (const auto it = self.lock()) {
                            it->receive(in);
                        }
                    },
                    [self = weak_from_this()](stream::ending) {
                        if (const auto it = self.lock()) {
                            it->on_disconnect(connection_end::caller);
                        }
                    },
                    [self = weak_from_this()] {
                        if (const auto it = self.lock()) {
                            it->on_sent();
                        }
                    }});
    arm_timer(idle_deadline());
}

bool http_session::idle()
{
    return exchanges_.empty() && !announced_end_ && !has_further_request();
}

bool http_session::has_further_request()
{
    return next_ || reader_.started() || !stream_->buffered().empty() || has_unread_data();
}

bool http_session::has_unread_data()
{
    error_code ec;
    return stream_->socket().available(ec) > 0;
}

void http_session::close()
{
    const auto keep = shared_from_this();
    if (exchanges_.empty()) {
        finish(connection_end::stop);
        return;
    }
    stream_->close();
    on_disconnect(connection_end::stop);
}

void http_session::evict()
{
    const auto keep = shared_from_this();
    report_unstarted(connection_end::eviction);
    stream_->close();
    on_disconnect(connection_end::eviction);
}

void http_session::receive(std::string& in)
{
    if (announced_end_) {
        refuse_requests(in);
        return;
    }
    read_requests(in);
}

void http_session::announce_end()
{
    announced_end_ = server_.time_.now() + announced_end_delay;
    stream_->send_after_end_of_data();
    arm_timer(*announced_end_);
    asio::post(server_.loop_, [self = weak_from_this()] {
        if (const auto it = self.lock(); it && !it->closed_) {
            it->refuse_requests(it->stream_->buffered());
        }
    });
}

void http_session::refuse_requests(std::string& in)
{
    const auto keep = shared_from_this();
    while (!closed_ && stream_->unsent_bytes() <= max_unsent_bytes && (next_ || read_request(in))) {
        write_response(refusal_of(*next_), false, next_->request.method == "HEAD");
        next_.reset();
    }
    if (!closed_ && reader_.header_complete()) {
        // The body may arrive only after the end of the connection.
        reject(refusal_of(reader_.head()));
    }
    if (!closed_) {
        stream_->pause_reading(stream_->unsent_bytes() > max_unsent_bytes);
        update_charge();
    }
}

http_response http_session::refusal_of(const parsed_request& it) const
{
    return server_.refusal_ ? server_.refusal_(it) : empty_response(service_unavailable);
}

void http_session::read_requests(std::string& in)
{
    const auto keep = shared_from_this();
    while (may_read()) {
        if (!next_ && !read_request(in)) {
            break;
        }
        if (!may_start(*next_)) {
            break;
        }
        if (stream_->peer_closed()) {
            // Nobody waits for the response, and an idempotent request would be aborted only after
            // it has reached a backend server.
            stream_->close();
            on_disconnect(connection_end::caller);
            return;
        }
        start_request(*std::exchange(next_, std::nullopt));
    }
    if (!closed_) {
        const bool blocked = next_ || !may_read();
        stream_->pause_reading(blocked && in.size() > max_pipelined_bytes);
        update_charge();
    }
}

void http_session::on_sent()
{
    wait_started_ = server_.time_.now();
    if (announced_end_) {
        on_sent_after_announcement();
        return;
    }
    if (may_read()) {
        continue_reading();
    }
    update_charge();
}

void http_session::on_sent_after_announcement()
{
    if (!announcement_sent_ && stream_->unsent_bytes() == 0) {
        announcement_sent_ = true;
        announced_end_ = wait_started_ + announced_end_delay;
        arm_timer(*announced_end_);
    }
    refuse_requests(stream_->buffered());
}

bool http_session::charge_input(const std::string& in)
{
    if (charge_->resize(connection_charge::part::input, in.capacity() + reader_.memory())) {
        return true;
    }
    if (!closed_) {
        refuse_for_memory("no memory to receive the request");
    }
    return false;
}

bool http_session::charge_request(parsed_request& it)
{
    charge_->set(connection_charge::part::input, 0);
    if (closed_) {
        return false;
    }
    it.charge = std::make_shared<byte_reservation>(server_.registry_->memory());
    if (it.charge->resize(memory_of(it))) {
        return !closed_;
    }
    if (!closed_) {
        refuse_for_memory("no memory to run the request");
    }
    return false;
}

void http_session::refuse_for_memory(const char* reason)
{
    server_.registry_->count_refused_request();
    log_request_event("bad_request", "status=503 reason=\"{}\" requests_before={}", reason,
                      requests_);
    reject({503, {{"Retry-After", memory_retry_after}}, {}});
}

void http_session::update_charge()
{
    if (closed_) {
        return;
    }
    std::size_t responses = 0;
    bool at_work = false;
    for (const auto& it : exchanges_) {
        responses += it->response ? it->response->body.size() : 0;
        at_work = at_work || !it->response;
    }
    // A connection with a request at work waits for this process, whatever else its caller has
    // begun to send or not read yet.
    charge_->set_waits_for_peer(!at_work);
    // Requests that were read ahead stay in the stream's buffer while reading is blocked. The
    // announced length of a rejected request is not received.
    const auto request = rejection_ ? reader_.body_bytes() : reader_.memory();
    charge_->set(connection_charge::part::input, stream_->buffered().capacity() + request);
    charge_->set(connection_charge::part::responses, responses);
}

bool http_session::read_request(std::string& in)
{
    if (!reader_.started()) {
        wait_started_ = server_.time_.now();
    }
    const auto state = reader_.feed(in);
    if (state == parse_state::bad) {
        log_request_event("bad_request", "status={} reason=\"{}\" requests_before={}",
                          reader_.error_status(), reader_.error_reason(), requests_);
        reject(empty_response(reader_.error_status()));
        return false;
    }
    if (state == parse_state::complete) {
        head_checked_ = false;
        next_ = reader_.take();
        if (!charge_request(*next_)) {
            next_.reset();
            return false;
        }
        return true;
    }
    if (reject_by_head() || !charge_input(in)) {
        return false;
    }
    if (reader_.header_complete()) {
        wait_started_ = server_.time_.now();
    }
    if (reader_.started()) {
        arm_timer(idle_deadline());
    }
    if (exchanges_.empty() && !announced_end_ && !continue_sent_ && reader_.expects_continue()) {
        continue_sent_ = true;
        stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return false;
}

bool http_session::reject_by_head()
{
    if (head_checked_ || !reader_.header_complete() || !server_.head_check_) {
        return false;
    }
    head_checked_ = true;
    auto response = server_.head_check_(reader_.head());
    if (!response) {
        return false;
    }
    reject(std::move(*response));
    return true;
}

bool http_session::may_read() const
{
    return !closed_ && !last_request_ && !rejection_ && !announced_end_ &&
           exchanges_.size() < max_overlapping_requests &&
           stream_->unsent_bytes() <= max_unsent_bytes;
}

bool http_session::may_start(const parsed_request& it) const
{
    if (exchanges_.empty()) {
        return true;
    }
    return !server_.ending_ && server_.in_progress_ < server_.max_connections_ &&
           server_.may_overlap_ && server_.may_overlap_(it) &&
           std::all_of(exchanges_.begin(), exchanges_.end(),
                       [](const auto& each) { return each->may_overlap; });
}

void http_session::start_request(parsed_request request)
{
    const auto it = std::make_shared<exchange>();
    it->keep_alive = request.keep_alive;
    it->head_only = request.request.method == "HEAD";
    it->may_overlap = server_.may_overlap_ && server_.may_overlap_(request);
    exchanges_.push_back(it);
    ++requests_;
    ++server_.in_progress_;
    continue_sent_ = false;
    last_request_ = !request.keep_alive;
    const auto respond = [self = weak_from_this(),
                          weak = std::weak_ptr(it)](http_response response) {
        const auto session = self.lock();
        const auto to = weak.lock();
        if (session && to) {
            session->set_response(*to, std::move(response));
        }
    };
    try {
        auto cancel = server_.handler_(std::move(request), respond);
        if (!it->response) {
            it->cancel = std::move(cancel);
        }
    }
    catch (const std::exception& ex) {
        // One request must not end the process, which serves all other callers.
        log_event("request_handler_failed", "reason=\"{}\"", ex.what());
        respond(empty_response(500));
    }
}

void http_session::set_response(exchange& to, http_response response)
{
    if (to.response || closed_) {
        return;
    }
    const auto keep = shared_from_this();
    to.response = std::move(response);
    to.cancel = {};
    --server_.in_progress_;
    send_responses();
    update_charge();
}

void http_session::write_response(http_response response, bool keep_alive, bool head_only)
{
    auto head = serialize_head(response, keep_alive, head_only);
    if (without_body(response, head_only)) {
        response.body.clear();
    }
    if (response.body.size() <= max_copied_body) {
        stream_->write(std::move(head.append(response.body)));
        return;
    }
    stream_->write(std::move(head));
    stream_->write(std::move(response.body));
}

void http_session::send_responses()
{
    bool sent = false;
    while (!closed_ && !exchanges_.empty() && exchanges_.front()->response) {
        const auto it = exchanges_.front();
        exchanges_.pop_front();
        const bool last = server_.draining_ && exchanges_.empty() && !rejection_ &&
                          (server_.ending_ || !has_further_request());
        write_response(std::move(*it->response), it->keep_alive && !last, it->head_only);
        wait_started_ = server_.time_.now();
        sent = true;
        if (!it->keep_alive) {
            finish(connection_end::response);
            return;
        }
        if (last) {
            announce_end();
            return;
        }
    }
    if (sent && exchanges_.empty() && rejection_) {
        send_rejection();
    }
    else if (sent && !closed_) {
        continue_reading();
    }
}

void http_session::continue_reading()
{
    if (!next_ && stream_->buffered().empty()) {
        return;
    }
    asio::post(server_.loop_, [self = weak_from_this()] {
        if (const auto it = self.lock(); it && !it->closed_ && it->stream_->open()) {
            it->read_requests(it->stream_->buffered());
        }
    });
}

void http_session::reject(http_response response)
{
    rejection_ = std::move(response);
    if (exchanges_.empty()) {
        send_rejection();
    }
}

void http_session::send_rejection()
{
    stream_->write(serialize(*rejection_, false, false));
    finish(connection_end::rejection);
}

void http_session::on_disconnect(connection_end reason)
{
    const auto keep = shared_from_this();
    remove_session(reason);
    cancel_exchanges();
}

void http_session::cancel_exchanges()
{
    for (const auto& it : std::exchange(exchanges_, {})) {
        if (it->response) {
            continue;
        }
        --server_.in_progress_;
        if (const auto cancel = std::exchange(it->cancel, {})) {
            cancel();
        }
    }
}

void http_session::finish(connection_end reason)
{
    const auto keep = shared_from_this();
    charge_->set_waits_for_peer(true);
    const auto rest = report_unstarted(reason);
    ++*server_.closing_;
    stream_->finish([count = server_.closing_] { --*count; },
                    [rest](std::string& in) { rest->add_late(in); });
    remove_session(reason);
}

std::shared_ptr<discarded_input> http_session::report_unstarted(connection_end reason)
{
    auto rest = std::make_shared<discarded_input>(server_.endings_, server_.time_, reason);
    if (next_) {
        rest->add(*next_);
    }
    rest->add_buffered(stream_->buffered());
    return rest;
}

void http_session::remove_session(connection_end reason)
{
    server_.endings_->record_end(
        reason, std::chrono::duration_cast<milliseconds>(server_.time_.now() - started_),
        requests_);
    closed_ = true;
    timer_.cancel();
    server_.sessions_.erase(shared_from_this());
}

steady_time http_session::idle_deadline() const
{
    if (announced_end_) {
        return *announced_end_;
    }
    return wait_started_ + (reader_.started() && !reader_.header_complete() ? limits_.header_timeout
                                                                            : limits_.idle_timeout);
}

void http_session::arm_timer(steady_time at)
{
    timer_.expires_at(at);
    timer_.async_wait([self = weak_from_this()](error_code ec) {
        const auto it = self.lock();
        if (!ec && it && !it->closed_) {
            it->check_timeout();
        }
    });
}

void http_session::check_timeout()
{
    const auto now = server_.time_.now();
    if (!exchanges_.empty()) {
        arm_timer(now + limits_.idle_timeout);
        return;
    }
    if (now < idle_deadline()) {
        arm_timer(idle_deadline());
        return;
    }
    const auto keep = shared_from_this();
    if (announced_end_) {
        if (stream_->unsent_bytes() > 0 && !announcement_sent_) {
            // The caller is still receiving the response that announces the end.
            arm_timer(now + announced_end_delay);
            return;
        }
        finish(connection_end::response);
        return;
    }
    if (may_read() && has_unread_data()) {
        // The event loop is behind: the data arrived before the timeout, its handler runs soon.
        arm_timer(now + unread_data_delay);
        return;
    }
    if (reader_.started()) {
        reject(empty_response(408));
        return;
    }
    finish(connection_end::idle);
}

} // namespace toucan::edge
