#include "connection.h"

#include "http_text.h"
#include "toucan/backend/config.h"
#include "toucan/base/last_reason.h"

#include <poll.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

namespace toucan::backend {

namespace {

constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

const http_header* find_header(const std::vector<http_header>& headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [&](const http_header& other) {
        return same_name(other.name, name);
    });
    return it == headers.end() ? nullptr : &*it;
}

bool says_shed(int status, const std::vector<http_header>& headers)
{
    const auto* it = find_header(headers, "Toucan-Shed");
    return (status == status_unavailable || status == status_gateway_timeout) && it != nullptr &&
           it->value == "1";
}

milliseconds retry_after(const std::vector<http_header>& headers)
{
    const auto* it = find_header(headers, "Retry-After");
    std::uint32_t seconds = 0;
    if (it == nullptr ||
        std::from_chars(it->value.data(), it->value.data() + it->value.size(), seconds).ec !=
            std::errc()) {
        return config::shed_retry_after;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

connection::connection(vm_address address, const clock& time)
    : httplib::ClientImpl(address.ip_text(), address.port()), clock_(time),
      host_text_(address.to_string())
{
    set_tcp_nodelay(true);
    set_keep_alive(true);
    set_decompress(false);
    set_follow_location(false);
    set_url_encode(false);
}

connection::~connection()
{
    disconnect();
}

bool connection::connect(steady_time deadline)
{
    if (socket_.is_open()) {
        // The backend server closed the idle connection, or sent bytes that nobody asked for.
        pollfd it{socket_.sock, POLLIN, 0};
        if (::poll(&it, 1, 0) == 0) {
            return true;
        }
        disconnect();
    }
    const auto left = std::chrono::floor<milliseconds>(deadline - clock_.now());
    if (left.count() <= 0) {
        return false;
    }
    set_connection_timeout(std::min(config::connect_timeout, left));
    httplib::Error error = httplib::Error::Success;
    return create_and_connect_socket(socket_, error);
}

void connection::disconnect()
{
    const std::lock_guard<std::mutex> lock(socket_mutex_);
    if (socket_.is_open()) {
        shutdown_socket(socket_);
        close_socket(socket_);
    }
}

dispatch_result connection::read_failure(const socket_stream& stream, const std::string& what)
{
    disconnect();
    using failure = socket_stream::failure;
    if (!stream.has_written()) {
        switch (stream.first_failure()) {
        case failure::denied:
            return not_sent{"dispatch was denied before the first byte"};
        case failure::deadline:
            return not_sent{"deadline passed before the first byte"};
        case failure::cancelled:
            return not_sent{"cancelled before the first byte"};
        default:
            return not_sent{"connection closed before the first byte"};
        }
    }
    switch (stream.first_failure()) {
    case failure::deadline:
        return timed_out{"backend server did not answer in time"};
    case failure::cancelled:
        return cut_short{"cancelled"};
    case failure::closed:
        return cut_short{"backend server closed the connection before the response was complete"};
    case failure::broken:
        return cut_short{"connection broke before the response was complete"};
    default:
        return cut_short{what};
    }
}

dispatch_result connection::exchange(const http_request& request, steady_time deadline,
                                     const operations::dispatch_guard& guard,
                                     const cancellation* cancel)
{
    if (!connect(deadline)) {
        disconnect();
        return not_sent{"no connection to the backend server"};
    }
    const auto left = std::chrono::floor<milliseconds>(deadline - clock_.now());
    const auto text = write_request_text(request, host_text_, std::max(left, milliseconds(0)));
    if (!text) {
        return not_sent{last_reason()};
    }
    socket_stream stream(socket_.sock, *text, clock_, deadline, guard, cancel);
    httplib::Request parsed;
    parsed.method = request.method;
    parsed.path = request.path;
    std::optional<std::vector<http_header>> headers;
    auto frame = framing::unsafe;
    const auto read_head = [&](int status) {
        stream.end_head();
        headers = read_header_lines(stream.head());
        frame = headers ? framing_of(request.method, status, *headers) : framing::unsafe;
    };
    parsed.response_handler = [&](const httplib::Response& it) {
        read_head(it.status);
        return frame == framing::length || frame == framing::chunked;
    };
    httplib::Response answer;
    httplib::Error error = httplib::Error::Success;
    const bool is_read = process_request(stream, parsed, answer, false, error);
    if (is_read && !headers) {
        // cpp-httplib has stopped after the head, because there is no body.
        read_head(answer.status);
    }
    const bool is_whole = is_read || (error == httplib::Error::Canceled && headers.has_value());
    if (!is_whole || frame == framing::unsafe ||
        stream.first_failure() != socket_stream::failure::none) {
        return read_failure(stream, "response is malformed or has no explicit length");
    }
    const auto* option = find_header(*headers, "Connection");
    if (stream.has_leftover() || (option != nullptr && same_name(option->value, "close")) ||
        answer.version != "HTTP/1.1") {
        disconnect();
    }
    if (says_shed(answer.status, *headers)) {
        return shed{retry_after(*headers)};
    }
    return responded{{answer.status, end_to_end(*headers), std::move(answer.body)}};
}

} // namespace toucan::backend
