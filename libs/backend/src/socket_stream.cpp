#include "socket_stream.h"

#include "toucan/backend/config.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>

namespace toucan::backend {

socket_stream::socket_stream(int sock, std::string_view request_text, const clock& time,
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

bool socket_stream::receive(std::string& received)
{
    constexpr std::size_t max_read_bytes = 16384;
    std::array<char, max_read_bytes> buf{};
    while (wait_for(POLLIN)) {
        const auto n = ::recv(sock_, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n > 0) {
            received.append(buf.data(), static_cast<std::size_t>(n));
            return true;
        }
        if (n == 0) {
            return record_failure(failure::closed);
        }
        if (errno != EAGAIN && errno != EINTR) {
            return record_failure(failure::connection_error);
        }
    }
    return false;
}

} // namespace toucan::backend
