#include "http_message.h"

#include "toucan/base/message_head.h"
#include "toucan/base/text.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace toucan::edge {

namespace {

int http_status_for(const error_code& ec)
{
    if (ec == http::error::header_limit) {
        return 431;
    }
    return ec == http::error::body_limit ? 413 : 400;
}

/// Memory of a field beside its bytes: the parser's node, or two strings and their allocations.
constexpr std::size_t field_overhead = 160;
/// Memory of a request beside its fields and its body: the call with its timer, the names of its
/// service and region, and its attempt.
constexpr std::size_t request_overhead = 2048;

void append_headers(std::string& out, const std::vector<http_header>& headers)
{
    for (const auto& it : headers) {
        out.append(it.name).append(": ").append(it.value).append("\r\n");
    }
}

} // namespace

request_reader::request_reader(std::size_t max_header_bytes, std::size_t max_body_bytes)
    : max_header_bytes_(max_header_bytes), max_body_bytes_(max_body_bytes)
{
    reset();
}

void request_reader::reset()
{
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(
        std::min<std::size_t>(max_header_bytes_, std::numeric_limits<std::uint32_t>::max())));
    parser_->body_limit(max_body_bytes_);
    header_lines_ = 0;
    header_bytes_ = 0;
    started_ = false;
}

std::size_t request_reader::memory() const
{
    if (!started_) {
        return 0;
    }
    const auto head = header_bytes_ + header_lines_ * field_overhead;
    if (!header_complete()) {
        return head;
    }
    // A body without an announced length is copied when its buffer grows.
    const auto length = parser_->content_length();
    return head + (length ? static_cast<std::size_t>(*length) : 2 * body_bytes());
}

parse_state request_reader::feed(std::string& in)
{
    while (!in.empty()) {
        started_ = true;
        error_code ec;
        const bool in_header = !parser_->is_header_done();
        const auto used = parser_->put(asio::buffer(in.data(), in.size()), ec);
        header_lines_ += in_header ? count_lines(in, used) : 0;
        header_bytes_ += in_header ? used : 0;
        in.erase(0, used);
        if (header_lines_ > max_header_lines) {
            ec = http::error::header_limit;
        }
        if (ec == http::error::need_more) {
            return parse_state::incomplete;
        }
        if (!ec && body_too_long(*parser_, max_body_bytes_)) {
            ec = http::error::body_limit;
        }
        if (ec) {
            error_status_ = http_status_for(ec);
            error_reason_ = ec.message();
            return parse_state::bad;
        }
        if (parser_->is_done()) {
            return parse_state::complete;
        }
        if (used == 0) {
            return parse_state::incomplete;
        }
    }
    return started_ && parser_->is_done() ? parse_state::complete : parse_state::incomplete;
}

bool request_reader::expects_continue() const
{
    return parser_->is_header_done() &&
           equals_ignoring_case(from_boost(parser_->get()[http::field::expect]), "100-continue");
}

parsed_request request_reader::head() const
{
    const auto& message = parser_->get();
    parsed_request it;
    it.keep_alive = message.keep_alive();
    it.request.method = std::string(from_boost(message.method_string()));
    it.request.path = std::string(from_boost(message.target()));
    it.host = std::string(from_boost(message[http::field::host]));
    it.host = it.host.substr(0, it.host.find(':'));
    it.request.headers = end_to_end_headers(message);
    return it;
}

parsed_request request_reader::take()
{
    auto it = head();
    it.request.body = std::move(parser_->get().body());
    reset();
    return it;
}

std::size_t memory_of(const parsed_request& it)
{
    // The fields are copied for each attempt at a backend server.
    std::size_t fields = it.request.method.size() + it.request.path.size() + it.host.size();
    for (const auto& field : it.request.headers) {
        fields += field.name.size() + field.value.size() + field_overhead;
    }
    return request_overhead + 2 * fields + it.request.body.size();
}

std::string_view find_header(const std::vector<http_header>& headers, std::string_view name)
{
    for (const auto& it : headers) {
        if (equals_ignoring_case(it.name, name)) {
            return it.value;
        }
    }
    return {};
}

void remove_header(std::vector<http_header>& headers, std::string_view name)
{
    std::erase_if(headers, [&](const auto& it) { return equals_ignoring_case(it.name, name); });
}

std::string_view find_cookie(const std::vector<http_header>& headers, std::string_view name)
{
    for (const auto& it : headers) {
        if (!equals_ignoring_case(it.name, "cookie")) {
            continue;
        }
        for (const auto pair : split_fields(it.value, ';')) {
            const auto equals = pair.find('=');
            if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
                return pair.substr(equals + 1);
            }
        }
    }
    return {};
}

std::string serialize_head(const http_request& it, std::size_t body_bytes)
{
    std::string out;
    out.reserve(512);
    out.append(it.method).append(" ").append(it.path).append(" HTTP/1.1\r\n");
    append_headers(out, it.headers);
    const bool has_body = body_bytes > 0 || (it.method != "GET" && it.method != "HEAD");
    if (has_body) {
        out += fmt::format("Content-Length: {}\r\n", body_bytes);
    }
    return out.append("\r\n");
}

std::string serialize(const http_request& it)
{
    return serialize_head(it, it.body.size()).append(it.body);
}

bool without_body(const http_response& it, bool head_only)
{
    return head_only || it.status == 204 || it.status == 304;
}

std::string serialize_head(const http_response& it, bool keep_alive, bool head_only)
{
    std::string out;
    out.reserve(256);
    out += fmt::format("HTTP/1.1 {} {}\r\n", it.status,
                       from_boost(http::obsolete_reason(static_cast<http::status>(it.status))));
    append_headers(out, it.headers);
    if (!without_body(it, head_only)) {
        out += fmt::format("Content-Length: {}\r\n", it.body.size());
    }
    if (!keep_alive) {
        out += "Connection: close\r\n";
    }
    return out.append("\r\n");
}

std::string serialize(const http_response& it, bool keep_alive, bool head_only)
{
    auto out = serialize_head(it, keep_alive, head_only);
    return without_body(it, head_only) ? out : out.append(it.body);
}

} // namespace toucan::edge
