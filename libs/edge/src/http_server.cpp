#include "http_server.h"

#include "http_session.h"

#include "toucan/base/last_reason.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

namespace toucan::edge {

namespace {

constexpr int listen_backlog = 1024;
/// Delay after a failed accept, for example when file descriptors are exhausted.
constexpr milliseconds accept_retry_delay{50};

} // namespace

http_server::http_server(asio::io_context& loop, const clock& time, request_handler handler,
                         limits_source limits, overlap_check may_overlap)
    : loop_(loop), time_(time), handler_(std::move(handler)), limits_(std::move(limits)),
      may_overlap_(std::move(may_overlap)),
      registry_(std::make_shared<connection_registry>(time, "callers")), acceptor_(loop),
      accept_retry_timer_(loop)
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
    acceptor_.async_accept(
        [this, alive = std::weak_ptr(alive_)](error_code ec, tcp::socket socket) {
            if (!alive.expired()) {
                on_accepted(ec, std::move(socket));
            }
        });
}

void http_server::on_accepted(error_code ec, tcp::socket socket)
{
    if (!ec) {
        // The listening socket may have been closed since. The caller has sent a request or will.
        add_session(std::move(socket));
    }
    if (!acceptor_.is_open()) {
        return;
    }
    if (!ec) {
        accept();
        return;
    }
    accept_retry_timer_.expires_after(accept_retry_delay);
    accept_retry_timer_.async_wait([this](error_code stopped) {
        if (!stopped) {
            accept();
        }
    });
}

void http_server::add_session(tcp::socket socket)
{
    if (closed_) {
        endings_->record_unread();
        return;
    }
    if (registry_->size() >= max_connections_ &&
        !registry_->evict_one(milliseconds(0), connection_registry::shortage::connections)) {
        registry_->count_refused_connection();
        error_code ec;
        socket.close(ec);
        return;
    }
    const auto session = std::make_shared<http_session>(*this, std::move(socket));
    sessions_.insert(session);
    session->start();
}

void http_server::stop_accepting()
{
    // Closing the listening socket resets the connections that wait in its queue, although their
    // callers may already have sent a request.
    error_code ec;
    acceptor_.non_blocking(true, ec);
    while (!ec) {
        tcp::socket socket(loop_);
        acceptor_.accept(socket, ec);
        if (!ec) {
            add_session(std::move(socket));
        }
    }
    stop_listening();
}

void http_server::stop_listening()
{
    error_code ec;
    acceptor_.close(ec);
    accept_retry_timer_.cancel();
}

void http_server::close_idle_connections()
{
    // Posted, so that data that has been read but not delivered yet counts as a received request.
    asio::post(loop_, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired()) {
            close_idle_sessions();
        }
    });
}

void http_server::close_idle_sessions()
{
    std::vector<std::shared_ptr<http_session>> idle;
    for (const auto& it : sessions_) {
        if (it->idle()) {
            idle.push_back(it);
        }
    }
    for (const auto& it : idle) {
        it->finish(connection_end::stop);
    }
}

void http_server::close_all()
{
    stop_listening();
    closed_ = true;
    const std::vector<std::shared_ptr<http_session>> all(sessions_.begin(), sessions_.end());
    for (const auto& it : all) {
        it->close();
    }
}

} // namespace toucan::edge
