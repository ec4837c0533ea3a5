#include "stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
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
/// Interval at which the delivery of sent data is checked. Shorter than the silence timeout.
constexpr std::chrono::milliseconds delivery_check_interval{500};
/// Silence timeout while sent data is not acknowledged; a lost peer is then found by the check.
constexpr std::chrono::milliseconds closed_window_timeout{30000};
/// A peer counts as lost after this many retransmissions (1.4 s at the least) or probes of a closed
/// window without an acknowledgement. A peer whose window is closed answers the probes.
constexpr unsigned max_unanswered = 3;

/// Whether the peer has not acknowledged all data that was passed to the kernel.
bool has_undelivered(int fd)
{
    int bytes = 0;
    return ::ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

bool peer_lost(int fd)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return false;
    }
    const auto silent = std::chrono::milliseconds(info.tcpi_last_ack_recv);
    const bool resends = info.tcpi_unacked > 0 && info.tcpi_retransmits >= max_unanswered;
    return silent >= default_silence_timeout && (resends || info.tcpi_probes >= max_unanswered);
}

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
            if (ec == asio::error::eof && !self->out_.empty() &&
                (self->finishing_ || self->sends_after_end_of_data_)) {
                // The peer sends nothing more, but may still receive the queued data.
                return;
            }
            if (ec) {
                self->handle_close(ec == asio::error::eof ? ending::end_of_data : ending::reset);
                return;
            }
            self->in_.append(self->buf_.data(), n);
            if (self->charge_) {
                self->charge_->record_bytes(n);
            }
            self->deliver_data();
        });
}

void stream::deliver_data()
{
    if (finishing_) {
        if (discarded_) {
            discarded_(in_);
        }
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
    queue({std::move(data), nullptr, std::move(sent)});
}

void stream::write(std::shared_ptr<const std::string> data, std::function<void()> sent)
{
    queue({{}, std::move(data), std::move(sent)});
}

void stream::queue(queued_write it)
{
    if (!socket_.is_open()) {
        return;
    }
    unsent_ += it.data().size();
    out_.push_back(std::move(it));
    if (charge_) {
        charge_->set(connection_charge::part::output, unsent_);
    }
    write_next();
}

void stream::write_next()
{
    if (writing_ || out_.empty() || !socket_.is_open()) {
        return;
    }
    writing_ = true;
    // Part by part, because each part counts as progress of the peer.
    socket_.async_write_some(asio::buffer(out_.front().data()) + written_,
                             [self = shared_from_this()](error_code ec, std::size_t n) {
                                 self->writing_ = false;
                                 if (ec) {
                                     self->handle_close(ending::reset);
                                     return;
                                 }
                                 self->on_written(n);
                             });
}

void stream::watch_delivery()
{
    if (!charge_ || watching_delivery_ || !socket_.is_open()) {
        return;
    }
    watching_delivery_ = true;
    if (!delivery_timer_) {
        delivery_timer_ = std::make_unique<asio::steady_timer>(socket_.get_executor());
    }
    delivery_timer_->expires_after(delivery_check_interval);
    delivery_timer_->async_wait([weak = weak_from_this()](error_code ec) {
        const auto self = weak.lock();
        if (!ec && self) {
            self->check_delivery();
        }
    });
}

void stream::check_delivery()
{
    watching_delivery_ = false;
    if (!socket_.is_open()) {
        return;
    }
    const int fd = socket_.native_handle();
    if (unsent_ == 0 && !has_undelivered(fd)) {
        set_silence_timeout(socket_, default_silence_timeout);
        return;
    }
    if (peer_lost(fd)) {
        handle_close(ending::reset);
        return;
    }
    set_silence_timeout(socket_, closed_window_timeout);
    watch_delivery();
}

void stream::on_written(std::size_t n)
{
    watch_delivery();
    written_ += n;
    unsent_ -= n;
    if (charge_) {
        charge_->record_bytes(n);
        charge_->set(connection_charge::part::output, unsent_);
    }
    if (written_ == out_.front().data().size()) {
        const auto sent = std::move(out_.front().sent);
        out_.pop_front();
        written_ = 0;
        if (sent) {
            sent();
        }
        if (out_.empty() && finishing_) {
            shutdown_sending();
            return;
        }
    }
    if (hooks_.sent) {
        // Copied because the hook may close the connection, which releases the hooks.
        const auto hook = hooks_.sent;
        hook();
    }
    write_next();
}

void stream::finish(std::function<void()> closed, std::function<void(std::string& in)> discarded)
{
    if (finishing_ || !socket_.is_open()) {
        if (closed) {
            closed();
        }
        return;
    }
    finishing_ = true;
    finished_ = std::move(closed);
    discarded_ = std::move(discarded);
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
    if (delivery_timer_) {
        delivery_timer_->cancel();
    }
    error_code ec;
    socket_.close(ec);
    if (charge_) {
        charge_->release();
    }
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
