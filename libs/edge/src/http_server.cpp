#include "http_server.h"

#include "event_log.h"

#include "toucan/base/last_reason.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

namespace toucan::edge {

namespace {

constexpr int listen_backlog = 1024;
/// Maximum buffered data of pipelined requests while a request is in progress; above it, reading is
/// paused.
constexpr std::size_t max_pipelined_bytes = 64U << 10U;
constexpr milliseconds timeout_check_interval{500};
/// Delay after a failed accept, for example when file descriptors are exhausted.
constexpr milliseconds accept_retry_delay{50};

http_response error_response(int status)
{
    return {status, {}, {}};
}

} // namespace

/// One connection of a caller.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(http_server& server, tcp::socket socket)
        : server_(&server), stream_(std::make_shared<stream>(std::move(socket))),
          limits_(server.limits_()), reader_(limits_.max_header_bytes, limits_.max_body_bytes),
          timer_(server.loop_), wait_started_(server.time_.now())
    {
    }

    void start()
    {
        stream_->start({[self = weak_from_this()](std::string& in) {
                            if (const auto it = self.lock()) {
                                it->on_data(in);
                            }
                        },
                        [self = weak_from_this()](stream::ending) {
                            if (const auto it = self.lock()) {
                                it->on_disconnect();
                            }
                        }});
        arm_timer();
    }

    [[nodiscard]] bool idle() const { return !busy_ && !reader_.started(); }

    void close()
    {
        const auto keep = shared_from_this();
        if (busy_) {
            stream_->close();
            on_disconnect();
            return;
        }
        stream_->finish();
        remove_session();
    }

private:
    void on_data(std::string& in)
    {
        if (busy_) {
            if (in.size() > max_pipelined_bytes) {
                stream_->pause_reading(true);
            }
            return;
        }
        read_request(in);
    }

    void read_request(std::string& in)
    {
        const auto keep = shared_from_this();
        if (!reader_.started()) {
            wait_started_ = server_->time_.now();
        }
        switch (reader_.feed(in)) {
        case parse_state::incomplete:
            if (!continue_sent_ && reader_.expects_continue()) {
                continue_sent_ = true;
                stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            return;
        case parse_state::bad:
            log_request_event("bad_request", "status={} reason=\"{}\" requests_before={}",
                              reader_.error_status(), reader_.error_reason(), requests_);
            stream_->write(serialize(error_response(reader_.error_status()), false, false));
            stream_->finish();
            remove_session();
            return;
        case parse_state::complete:
            break;
        }
        handle(reader_.take());
    }

    void handle(parsed_request request)
    {
        busy_ = true;
        ++requests_;
        continue_sent_ = false;
        ++server_->in_progress_;
        keep_alive_ = request.keep_alive;
        head_only_ = request.request.method == "HEAD";
        auto cancel = server_->handler_(std::move(request),
                                        [self = weak_from_this()](const http_response& response) {
                                            if (const auto it = self.lock()) {
                                                it->respond(response);
                                            }
                                        });
        if (busy_) {
            cancel_ = std::move(cancel);
        }
    }

    void respond(const http_response& response)
    {
        if (!busy_) {
            return;
        }
        const auto keep = shared_from_this();
        clear_request();
        const bool keep_open = keep_alive_ && !server_->draining_;
        stream_->write(serialize(response, keep_open, head_only_));
        wait_started_ = server_->time_.now();
        if (!keep_open) {
            stream_->finish();
            remove_session();
            return;
        }
        // Posted so that a pipelined request is not handled recursively.
        if (!stream_->buffered().empty()) {
            asio::post(server_->loop_, [self = weak_from_this()] {
                if (const auto it = self.lock(); it && !it->busy_ && it->stream_->open()) {
                    it->read_request(it->stream_->buffered());
                    it->stream_->pause_reading(false);
                }
            });
        }
    }

    void clear_request()
    {
        busy_ = false;
        cancel_ = {};
        --server_->in_progress_;
    }

    void on_disconnect()
    {
        const auto keep = shared_from_this();
        if (busy_) {
            const auto cancel = std::move(cancel_);
            clear_request();
            if (cancel) {
                cancel();
            }
        }
        remove_session();
    }

    void remove_session()
    {
        timer_.cancel();
        if (server_ != nullptr) {
            server_->sessions_.erase(shared_from_this());
        }
    }

    void arm_timer()
    {
        timer_.expires_after(timeout_check_interval);
        timer_.async_wait([self = weak_from_this()](error_code ec) {
            const auto it = self.lock();
            if (ec || !it || !it->stream_->open()) {
                return;
            }
            it->check_timeouts();
            it->arm_timer();
        });
    }

    void check_timeouts()
    {
        const auto waited = server_->time_.now() - wait_started_;
        if (busy_) {
            return;
        }
        if (reader_.started() && !reader_.header_complete() && waited > limits_.header_timeout) {
            stream_->write(serialize(error_response(408), false, false));
            stream_->finish();
            remove_session();
        }
        else if (!reader_.started() && waited > limits_.idle_timeout) {
            stream_->finish();
            remove_session();
        }
    }

    http_server* server_;
    std::shared_ptr<stream> stream_;
    caller_limits limits_;
    request_reader reader_;
    asio::steady_timer timer_;
    steady_time wait_started_;
    http_server::cancel cancel_;
    std::uint64_t requests_ = 0;
    bool busy_ = false;
    bool keep_alive_ = true;
    bool head_only_ = false;
    bool continue_sent_ = false;
};

http_server::http_server(asio::io_context& loop, const clock& time, request_handler handler,
                         limits_source limits)
    : loop_(loop), time_(time), handler_(std::move(handler)), limits_(std::move(limits)),
      acceptor_(loop), accept_retry_timer_(loop)
{
}

http_server::~http_server()
{
    close_all();
}

bool http_server::listen(const vm_address& address)
{
    error_code ec;
    acceptor_.open(tcp::v4(), ec);
    acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    acceptor_.bind(tcp_endpoint(address), ec);
    if (!ec) {
        acceptor_.listen(listen_backlog, ec);
    }
    if (ec) {
        fail(fmt::format("cannot listen on {}: {}", address.to_string(), ec.message()));
        return false;
    }
    accept();
    return true;
}

void http_server::accept()
{
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (!acceptor_.is_open()) {
            return;
        }
        if (ec) {
            accept_retry_timer_.expires_after(accept_retry_delay);
            accept_retry_timer_.async_wait([this](error_code stopped) {
                if (!stopped) {
                    accept();
                }
            });
            return;
        }
        auto session = std::make_shared<http_session>(*this, std::move(socket));
        sessions_.insert(session);
        session->start();
        accept();
    });
}

void http_server::stop_accepting()
{
    error_code ec;
    acceptor_.close(ec);
    accept_retry_timer_.cancel();
    const std::vector<std::shared_ptr<http_session>> all(sessions_.begin(), sessions_.end());
    for (const auto& it : all) {
        if (it->idle()) {
            it->close();
        }
    }
}

void http_server::close_all()
{
    stop_accepting();
    const std::vector<std::shared_ptr<http_session>> all(sessions_.begin(), sessions_.end());
    for (const auto& it : all) {
        it->close();
    }
}

} // namespace toucan::edge
