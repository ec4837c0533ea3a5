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

bool is_shed_response(int status, const std::vector<http_header>& headers)
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
        // A readable idle connection was closed by the backend server or has unexpected bytes.
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

dispatch_result connection::close_after_failure(const socket_stream& stream,
                                                const std::string& default_reason)
{
    disconnect();
    using failure = socket_stream::failure;
    if (!stream.has_sent_bytes()) {
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
        return interrupted{"cancelled"};
    case failure::closed:
        return interrupted{"backend server closed the connection before the response was complete"};
    case failure::connection_error:
        return interrupted{"connection broke before the response was complete"};
    default:
        return interrupted{default_reason};
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
    const auto request_text =
        write_request_text(request, host_text_, std::max(left, milliseconds(0)));
    if (!request_text) {
        return not_sent{last_reason()};
    }
    socket_stream stream(socket_.sock, *request_text, clock_, deadline, guard, cancel);
    httplib::Request parser_request;
    parser_request.method = request.method;
    parser_request.path = request.path;
    std::optional<std::vector<http_header>> headers;
    auto body_framing = framing::unsafe;
    const auto read_head = [&](int status) {
        stream.begin_body();
        headers = read_header_lines(stream.head());
        body_framing =
            headers ? response_framing(request.method, status, *headers) : framing::unsafe;
    };
    parser_request.response_handler = [&](const httplib::Response& it) {
        read_head(it.status);
        return body_framing == framing::length || body_framing == framing::chunked;
    };
    httplib::Response parser_response;
    httplib::Error error = httplib::Error::Success;
    const bool is_read = process_request(stream, parser_request, parser_response, false, error);
    if (is_read && !headers) {
        // cpp-httplib does not call response_handler if it expects no body.
        read_head(parser_response.status);
    }
    const bool is_complete = is_read || (error == httplib::Error::Canceled && headers.has_value());
    if (!is_complete || body_framing == framing::unsafe ||
        stream.first_failure() != socket_stream::failure::none) {
        return close_after_failure(stream, "response is malformed or has no explicit length");
    }
    const auto* connection_header = find_header(*headers, "Connection");
    if (stream.has_unread_bytes() ||
        (connection_header != nullptr && same_name(connection_header->value, "close")) ||
        parser_response.version != "HTTP/1.1") {
        disconnect();
    }
    if (is_shed_response(parser_response.status, *headers)) {
        return shed{retry_after(*headers)};
    }
    return responded{
        {parser_response.status, end_to_end_headers(*headers), std::move(parser_response.body)}};
}

} // namespace toucan::backend
