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

/// Reads a response with an explicit length.
/// @param received receives the bytes behind the response.
/// @return false if the response is not complete, broken or ends with the connection.
bool read_response(socket_stream& stream, response_reader& reader, std::string& received)
{
    while (stream.receive(received)) {
        const auto state = reader.feed(received);
        if (state == parse_state::complete) {
            return true;
        }
        // Truncation of a body that ends with the connection would go unnoticed.
        if (state == parse_state::bad || reader.ends_with_connection()) {
            return false;
        }
    }
    return false;
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
                                                const response_reader& reader)
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
    const auto early_end =
        reader.started() ? std::optional(response_fault::early_end) : std::nullopt;
    switch (stream.first_failure()) {
    case failure::deadline:
        return timed_out{"backend server did not answer in time"};
    case failure::cancelled:
        return interrupted{"cancelled"};
    case failure::closed:
        return interrupted{"backend server closed the connection before the response was complete",
                           early_end};
    case failure::connection_error:
        return interrupted{"connection broke before the response was complete", early_end};
    default:
        return reader.ends_with_connection()
                   ? interrupted{"response has no explicit length", response_fault::framing}
                   : interrupted{reader.error_reason(), reader.fault()};
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
    response_reader reader(response_limits{config::max_response_head_bytes,
                                           config::max_response_body_bytes,
                                           config::max_interim_responses});
    reader.expect(request.method);
    std::string received;
    if (!stream.send_request() || !read_response(stream, reader, received)) {
        return close_after_failure(stream, reader);
    }
    auto response = reader.take();
    // Bytes behind the response belong to no request.
    if (!received.empty() || !response.keep_alive) {
        disconnect();
    }
    auto& it = response.response;
    if (is_shed_response(it.status, it.headers)) {
        return shed{retry_after(it.headers)};
    }
    it.headers = end_to_end_headers(it.headers);
    return responded{std::move(it)};
}

} // namespace toucan::backend
