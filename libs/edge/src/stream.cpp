#include "stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace toucan::edge {

namespace {

/// Maximum time for the peer to close after the sending direction was shut down.
constexpr std::chrono::milliseconds linger_timeout{1000};
/// Maximum time to send the queued data of a connection that is being closed. A slow caller needs
/// it to receive a long response.
constexpr std::chrono::milliseconds flush_timeout{30000};
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

void set_option(int fd, int level, int name, int value)
{
    // Errors are ignored: a kernel without an option keeps its default and detects the loss of a
    // peer later.
    ::setsockopt(fd, level, name, &value, sizeof value);
}

} // namespace

void set_socket_options(tcp::socket& socket)
{
    const int fd = socket.native_handle();
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_silence_timeout(socket, default_silence_timeout);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

void set_silence_timeout(tcp::socket& socket, std::chrono::milliseconds timeout)
{
    set_option(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<int>(timeout.count()));
}

void stream::start(events hooks)
{
    hooks_ = std::move(hooks);
    set_socket_options(socket_);
    read();
}

void stream::read()
{
    if (reading_ || paused_ || !socket_.is_open()) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(buf_), [self = shared_from_this()](error_code ec, std::size_t n) {
            self->reading_ = false;
            if (ec == asio::error::eof && self->finishing_ && !self->out_.empty()) {
                // The peer sends nothing more, but may still receive the queued data.
                return;
            }
            if (ec) {
                self->handle_close(ec == asio::error::eof ? ending::end_of_data : ending::reset);
                return;
            }
            self->in_.append(self->buf_.data(), n);
            self->deliver_data();
        });
}

void stream::deliver_data()
{
    if (finishing_) {
        in_.clear();
        read();
        return;
    }
    if (hooks_.data) {
        // Copied because the hook may close the connection, which releases the hooks.
        const auto data = hooks_.data;
        data(in_);
    }
    if (in_.empty()) {
        in_.shrink_to_fit();
    }
    read();
}

bool stream::peer_closed()
{
    char next = 0;
    const auto n = ::recv(socket_.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void stream::pause_reading(bool paused)
{
    paused_ = paused;
    read();
}

void stream::write(std::string data, std::function<void()> sent)
{
    if (!socket_.is_open()) {
        return;
    }
    out_.push_back({std::move(data), std::move(sent)});
    write_next();
}

void stream::write_next()
{
    if (writing_ || out_.empty()) {
        return;
    }
    writing_ = true;
    asio::async_write(socket_, asio::buffer(out_.front().data),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                          self->writing_ = false;
                          if (ec) {
                              self->handle_close(ending::reset);
                              return;
                          }
                          auto sent = std::move(self->out_.front().sent);
                          self->out_.pop_front();
                          if (sent) {
                              sent();
                          }
                          if (self->out_.empty() && self->finishing_) {
                              self->shutdown_sending();
                              return;
                          }
                          self->write_next();
                      });
}

void stream::finish(std::function<void()> closed)
{
    if (finishing_ || !socket_.is_open()) {
        if (closed) {
            closed();
        }
        return;
    }
    finishing_ = true;
    finished_ = std::move(closed);
    hooks_ = {};
    if (out_.empty()) {
        shutdown_sending();
    }
    else {
        close_after(flush_timeout);
    }
    paused_ = false;
    in_.clear();
    read();
}

void stream::shutdown_sending()
{
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    close_after(linger_timeout);
}

void stream::close_after(std::chrono::milliseconds delay)
{
    if (!close_timer_) {
        close_timer_ = std::make_unique<asio::steady_timer>(socket_.get_executor());
    }
    close_timer_->expires_after(delay);
    close_timer_->async_wait([self = shared_from_this()](error_code ec) {
        if (!ec) {
            self->close();
        }
    });
}

void stream::close()
{
    hooks_ = {};
    if (close_timer_) {
        close_timer_->cancel();
    }
    error_code ec;
    socket_.close(ec);
    if (const auto finished = std::exchange(finished_, {})) {
        finished();
    }
}

void stream::handle_close(ending how)
{
    if (!socket_.is_open()) {
        return;
    }
    const auto closed = std::move(hooks_.closed);
    close();
    if (closed) {
        closed(how);
    }
}

} // namespace toucan::edge
