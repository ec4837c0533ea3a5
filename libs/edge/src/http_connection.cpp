#include "http_connection.h"

#include <utility>

namespace toucan::edge {

namespace {

/// Maximum idle time for reuse if the server sends no keep-alive timeout.
constexpr milliseconds default_max_idle{4000};
/// Share of the server's keep-alive timeout during which a connection is reused. Later, the server
/// may already have closed it.
constexpr double reusable_idle_share = 0.8;
/// Bodies up to this size are copied and sent in one write with their head.
constexpr std::size_t max_copied_body = 16U << 10U;
/// Surplus responses that are skipped before the response to a request.
constexpr std::size_t max_surplus_responses = 4;

} // namespace

void http_connection::send(const http_request& request, std::shared_ptr<const std::string> body,
                           const exchange_limits& limits, response_check check, handler done)
{
    if (!body) {
        request_bytes_ = serialize(request);
    }
    else {
        request_bytes_ = serialize_head(request, body->size());
        if (body->size() <= max_copied_body) {
            request_bytes_ += *body;
            body.reset();
        }
    }
    request_body_ = std::move(body);
    method_ = request.method;
    surplus_responses_ = 0;
    check_ = std::move(check);
    done_ = std::move(done);
    write_complete_ = false;
    ++exchanges_;
    const bool silence_timeout_changed = silence_timeout_ != limits.silence_timeout;
    silence_timeout_ = limits.silence_timeout;
    if (!stream_) {
        connect(limits.connect_timeout);
        return;
    }
    send_check_ = {};
    if (silence_timeout_changed) {
        set_silence_timeout(stream_->socket(), silence_timeout_);
    }
    write_request();
}

void http_connection::open(const exchange_limits& limits, milliseconds max_idle,
                           std::function<void(bool connected)> opened)
{
    max_idle_ = max_idle;
    opened_ = std::move(opened);
    connect(limits.connect_timeout);
}

void http_connection::connect(milliseconds timeout)
{
    connect_started_ = time_.now();
    connecting_ = std::make_shared<tcp::socket>(loop_);
    connect_timer_ = std::make_unique<asio::steady_timer>(loop_);
    connect_timer_->expires_after(timeout);
    connect_timer_->async_wait([self = shared_from_this()](error_code ec) {
        if (!ec && self->connecting_) {
            error_code ignored;
            self->connecting_->close(ignored);
            self->on_connect_failed("connection timed out");
        }
    });
    connecting_->async_connect(tcp_endpoint(peer_),
                               [self = shared_from_this(), socket = connecting_](error_code ec) {
                                   if (self->connecting_ != socket || !socket->is_open()) {
                                       return;
                                   }
                                   self->connect_timer_.reset();
                                   self->connecting_.reset();
                                   if (ec) {
                                       self->on_connect_failed("connect: " + ec.message());
                                       return;
                                   }
                                   self->on_connected(std::move(*socket));
                               });
}

void http_connection::on_connected(tcp::socket socket)
{
    connect_duration_ = time_.now() - connect_started_;
    start_stream(std::move(socket));
    if (const auto opened = std::exchange(opened_, {})) {
        idle_since_ = time_.now();
        opened(true);
        return;
    }
    if (const auto may_send = std::exchange(send_check_, {}); may_send && !may_send()) {
        request_body_.reset();
        complete({exchange_end::withheld, {}, "request may not be sent any more"});
        return;
    }
    write_request();
}

void http_connection::on_connect_failed(const std::string& reason)
{
    reusable_ = false;
    if (const auto opened = std::exchange(opened_, {})) {
        opened(false);
        return;
    }
    request_body_.reset();
    complete({exchange_end::not_sent, {}, reason});
}

void http_connection::start_stream(tcp::socket socket)
{
    stream_ = std::make_shared<stream>(std::move(socket));
    stream_->start({[self = weak_from_this()](std::string& in) {
                        if (const auto it = self.lock()) {
                            it->on_data(in);
                        }
                    },
                    [self = weak_from_this()](stream::ending how) {
                        if (const auto it = self.lock()) {
                            it->on_close(how);
                        }
                    }});
    if (silence_timeout_ != default_silence_timeout) {
        set_silence_timeout(stream_->socket(), silence_timeout_);
    }
}

void http_connection::write_request()
{
    reader_.expect(method_);
    const auto sent = [self = weak_from_this()] {
        if (const auto it = self.lock()) {
            it->write_complete_ = true;
        }
    };
    auto body = std::exchange(request_body_, nullptr);
    if (!body) {
        stream_->write(std::move(request_bytes_), sent);
        return;
    }
    stream_->write(std::move(request_bytes_));
    stream_->write(std::move(body), sent);
}

void http_connection::on_data(std::string& in)
{
    if (!done_) {
        // Unsolicited data on an idle connection.
        close();
        return;
    }
    while (done_) {
        const auto state = reader_.feed(in);
        if (state == parse_state::bad) {
            give_up(reader_.error_reason(), reader_.fault());
            return;
        }
        if (state == parse_state::incomplete) {
            const bool fits = memory_.resize(reader_.body_bytes() + in.size());
            // Making room may have closed the connection of the caller that waits for the response.
            if (!fits && done_) {
                give_up("no memory to receive the response");
            }
            return;
        }
        memory_.release();
        auto response = reader_.take();
        const auto origin = origin_of(response.response);
        if (origin != response_origin::other_request) {
            on_response(std::move(response), origin, !in.empty());
            return;
        }
        if (!response.keep_alive) {
            give_up("response has the attempt id of another request",
                    response_fault::other_request);
            return;
        }
        if (++surplus_responses_ > max_surplus_responses) {
            give_up("too many responses to other requests", response_fault::other_request);
            return;
        }
        reader_.expect(method_);
    }
}

response_origin http_connection::origin_of(const http_response& it) const
{
    return check_ ? check_(it) : response_origin::this_request;
}

void http_connection::on_response(parsed_response response, response_origin origin,
                                  bool surplus_bytes)
{
    // A late copy of a response that does not name its request could not be told from the response
    // to the next request on this connection.
    reusable_ = response.keep_alive && origin == response_origin::this_request && !surplus_bytes &&
                write_complete_;
    max_idle_ = response.keep_alive_timeout
                    ? std::chrono::duration_cast<milliseconds>(reusable_idle_share *
                                                               *response.keep_alive_timeout)
                    : default_max_idle;
    if (!reusable_) {
        stream_->close();
    }
    complete({exchange_end::response, std::move(response), {}});
}

void http_connection::give_up(const std::string& reason, std::optional<response_fault> fault)
{
    reusable_ = false;
    memory_.release();
    stream_->close();
    complete({exchange_end::incomplete, {}, reason, fault});
}

void http_connection::on_close(stream::ending how)
{
    reusable_ = false;
    memory_.release();
    if (!done_) {
        close();
        return;
    }
    if (how == stream::ending::end_of_data && reader_.end() == parse_state::complete) {
        auto response = reader_.take();
        if (origin_of(response.response) != response_origin::other_request) {
            complete({exchange_end::response, std::move(response), {}});
            return;
        }
    }
    complete({exchange_end::incomplete,
              {},
              how == stream::ending::end_of_data
                  ? "connection closed before the response was complete"
                  : "connection reset before the response was complete",
              reader_.started() ? std::optional(response_fault::early_end) : std::nullopt});
}

void http_connection::complete(exchange_result result)
{
    idle_since_ = time_.now();
    check_ = {};
    send_check_ = {};
    result.reused_connection = exchanges_ > 1;
    if (const auto done = std::exchange(done_, {})) {
        done(std::move(result));
    }
}

void http_connection::abort()
{
    done_ = {};
    check_ = {};
    send_check_ = {};
    idle_closed_ = {};
    opened_ = {};
    reusable_ = false;
    memory_.release();
    request_body_.reset();
    connect_timer_.reset();
    if (const auto socket = std::exchange(connecting_, nullptr)) {
        error_code ec;
        socket->close(ec);
    }
    if (stream_) {
        stream_->close();
    }
}

void http_connection::close()
{
    const auto closed = std::move(idle_closed_);
    abort();
    if (closed) {
        closed();
    }
}

bool http_connection::reusable() const
{
    return reusable_ && stream_ && stream_->open() && !done_ &&
           time_.now() - idle_since_ < max_idle_;
}

} // namespace toucan::edge
