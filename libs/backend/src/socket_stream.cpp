#include "socket_stream.h"

#include "toucan/backend/config.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

namespace toucan::backend {

socket_stream::socket_stream(socket_t sock, std::string_view request_text, const clock& time,
                             steady_time deadline, const operations::dispatch_guard& guard,
                             const cancellation* cancel)
    : sock_(sock), request_text_(request_text), clock_(time), deadline_(deadline), guard_(guard),
      cancel_(cancel)
{
}

bool socket_stream::record_failure(failure it)
{
    if (failure_ == failure::none) {
        failure_ = it;
    }
    return false;
}

bool socket_stream::is_readable() const
{
    pollfd it{sock_, POLLIN, 0};
    return has_unread_bytes() || ::poll(&it, 1, 0) > 0;
}

bool socket_stream::is_writable() const
{
    pollfd it{sock_, POLLOUT, 0};
    return ::poll(&it, 1, 0) > 0;
}

bool socket_stream::wait_for(short events)
{
    while (true) {
        if (cancel_ != nullptr && cancel_->is_cancelled()) {
            return record_failure(failure::cancelled);
        }
        auto left = std::chrono::ceil<milliseconds>(deadline_ - clock_.now());
        if (left.count() <= 0) {
            return record_failure(failure::deadline);
        }
        if (cancel_ != nullptr) {
            left = std::min(left, config::cancel_check_interval);
        }
        pollfd it{sock_, events, 0};
        const int n =
            ::poll(&it, 1, static_cast<int>(std::min<std::int64_t>(left.count(), 60'000)));
        if (n > 0) {
            return true;
        }
        if (n < 0 && errno != EINTR) {
            return record_failure(failure::connection_error);
        }
    }
}

bool socket_stream::send_request()
{
    if (!wait_for(POLLOUT)) {
        return false;
    }
    if (!guard_.allows()) {
        return record_failure(failure::denied);
    }
    while (bytes_sent_ < request_text_.size()) {
        const auto n = ::send(sock_, request_text_.data() + bytes_sent_,
                              request_text_.size() - bytes_sent_, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            bytes_sent_ += static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            if (!wait_for(POLLOUT)) {
                return false;
            }
            continue;
        }
        return record_failure(failure::connection_error);
    }
    return true;
}

ssize_t socket_stream::write(const char* /*ptr*/, size_t size)
{
    if (failure_ != failure::none) {
        return -1;
    }
    if (bytes_sent_ == 0 && !send_request()) {
        return -1;
    }
    return static_cast<ssize_t>(size);
}

ssize_t socket_stream::read(char* ptr, size_t size)
{
    if (buffer_begin_ == buffer_end_) {
        while (true) {
            if (failure_ != failure::none || !wait_for(POLLIN)) {
                return -1;
            }
            const auto n = ::recv(sock_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
            if (n > 0) {
                buffer_begin_ = 0;
                buffer_end_ = static_cast<std::size_t>(n);
                break;
            }
            if (n == 0) {
                record_failure(failure::closed);
                return 0;
            }
            if (errno != EAGAIN && errno != EINTR) {
                record_failure(failure::connection_error);
                return -1;
            }
        }
    }
    const auto n = std::min(size, buffer_end_ - buffer_begin_);
    std::copy_n(buffer_.data() + buffer_begin_, n, ptr);
    buffer_begin_ += n;
    if (in_head_) {
        head_.append(ptr, n);
        if (head_.size() > config::max_response_head_bytes) {
            record_failure(failure::connection_error);
            return -1;
        }
        // An interim response such as 103 is followed by another response head.
        constexpr std::string_view interim = "HTTP/1.1 1";
        if (head_.compare(0, interim.size(), interim) == 0 && head_.size() > 4 &&
            head_.compare(head_.size() - 4, 4, "\r\n\r\n") == 0) {
            head_.clear();
        }
    }
    return static_cast<ssize_t>(n);
}

void socket_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

void socket_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

} // namespace toucan::backend
