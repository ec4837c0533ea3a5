#include "http_message.h"

#include "text.h"

#include <boost/beast/http/rfc7230.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>

namespace toucan::edge {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop_headers = {
    "connection", "keep-alive",        "proxy-connection", "te", "trailer", "upgrade",
    "expect",     "transfer-encoding", "content-length"};

std::string_view view(boost::beast::string_view it)
{
    return {it.data(), it.size()};
}

/// Whether a header applies to a single connection.
/// @param named names that the Connection headers of the message list.
bool is_hop_by_hop(std::string_view name, const std::vector<std::string_view>& named)
{
    const auto same = [&](std::string_view it) {
        return equals_ignoring_case(it, name);
    };
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(), same) ||
           std::any_of(named.begin(), named.end(), same);
}

/// Headers without the hop-by-hop ones, which apply to a single connection and are not forwarded.
template <typename Fields>
std::vector<http_header> end_to_end_headers(const Fields& fields)
{
    std::vector<std::string_view> named;
    const auto [begin, end] = fields.equal_range(http::field::connection);
    for (auto it = begin; it != end; ++it) {
        for (const auto name : split_fields(view(it->value()), ',')) {
            named.push_back(name);
        }
    }
    std::vector<http_header> headers;
    for (const auto& it : fields) {
        if (!is_hop_by_hop(view(it.name_string()), named)) {
            headers.push_back({std::string(view(it.name_string())), std::string(view(it.value()))});
        }
    }
    return headers;
}

std::optional<std::chrono::seconds> keep_alive_timeout(std::string_view keep_alive)
{
    constexpr std::string_view key = "timeout=";
    for (const auto it : split_fields(keep_alive, ',')) {
        if (!equals_ignoring_case(it.substr(0, key.size()), key)) {
            continue;
        }
        if (const auto seconds = parse_number<int>(it.substr(key.size()))) {
            return std::chrono::seconds(*seconds);
        }
    }
    return std::nullopt;
}

/// Checks the announced length once the header is complete, before the parser continues with the
/// body. The parser reserves memory for the announced length before it applies its own limit.
template <typename Parser>
bool body_too_long(Parser& parser, std::uint64_t limit)
{
    if (!parser.is_header_done() || parser.eager()) {
        return false;
    }
    parser.eager(true);
    const auto length = parser.content_length();
    return length && *length > limit;
}

int http_status_for(const error_code& ec)
{
    if (ec == http::error::header_limit) {
        return 431;
    }
    return ec == http::error::body_limit ? 413 : 400;
}

response_fault fault_of(const error_code& ec)
{
    if (ec == http::error::header_limit || ec == http::error::body_limit) {
        return response_fault::limit;
    }
    if (ec == http::error::bad_status) {
        return response_fault::status;
    }
    const bool framing = ec == http::error::bad_content_length ||
                         ec == http::error::bad_transfer_encoding || ec == http::error::bad_chunk ||
                         ec == http::error::bad_chunk_extension;
    return framing ? response_fault::framing : response_fault::head;
}

/// Limits the fields of a message head. A field takes far more memory than its bytes, so the limit
/// on the bytes of a head does not bound its memory.
constexpr std::size_t max_header_lines = 256;

/// Memory of a field beside its bytes: the parser's node, or two strings and their allocations.
constexpr std::size_t field_overhead = 160;
/// Memory of a request beside its fields and its body: the call with its timer, the names of its
/// service and region, and its attempt.
constexpr std::size_t request_overhead = 2048;

/// Number of lines in the part of the received data that a parser has consumed.
std::size_t count_lines(const std::string& in, std::size_t used)
{
    return static_cast<std::size_t>(
        std::count(in.begin(), in.begin() + static_cast<std::ptrdiff_t>(used), '\n'));
}

/// Whether HTTP defines the class of a status code. The parser accepts any three digits.
bool is_status_code(unsigned status)
{
    constexpr unsigned min_status = 100;
    constexpr unsigned max_status = 599;
    return status >= min_status && status <= max_status;
}

/// Whether a transfer coding is the only one that the parser decodes.
bool is_chunked(boost::beast::string_view value)
{
    const http::opt_token_list codings(value);
    return http::validate_list(codings) && codings.begin() != codings.end() &&
           std::next(codings.begin()) == codings.end() &&
           boost::beast::iequals(*codings.begin(), "chunked");
}

/// Checks the transfer coding of a response with a body. The parser ignores codings that it does
/// not know and takes the encoded bytes, or those up to Content-Length, for the body.
bool has_sound_coding(const http::response<http::string_body>& it)
{
    const auto codings = it.count(http::field::transfer_encoding);
    if (codings == 0) {
        return true;
    }
    constexpr unsigned http_1_1 = 11;
    return codings == 1 && it.version() == http_1_1 &&
           is_chunked(it[http::field::transfer_encoding]);
}

/// Whether the head of a response names a body. The parser skips the body of a status that excludes
/// one, so that its bytes would be read as the next response.
bool announces_body(const http::response_parser<http::string_body>& it)
{
    return it.content_length().value_or(0) > 0 ||
           it.get().count(http::field::transfer_encoding) > 0;
}

/// Whether a line of the part that a parser has consumed begins with a blank. The parser appends
/// such a line to the field before it, and consumes both at once.
bool has_continued_line(const std::string& in, std::size_t used)
{
    const auto consumed = std::string_view(in).substr(0, used);
    return consumed.find("\n ") != std::string_view::npos ||
           consumed.find("\n\t") != std::string_view::npos;
}

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
           equals_ignoring_case(view(parser_->get()[http::field::expect]), "100-continue");
}

parsed_request request_reader::head() const
{
    const auto& message = parser_->get();
    parsed_request it;
    it.keep_alive = message.keep_alive();
    it.request.method = std::string(view(message.method_string()));
    it.request.path = std::string(view(message.target()));
    it.host = std::string(view(message[http::field::host]));
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

void response_reader::expect(std::string_view method)
{
    head_ = method == "HEAD";
    interim_responses_ = 0;
    start_message();
}

void response_reader::start_message()
{
    header_lines_ = 0;
    started_ = false;
    parser_.emplace();
    parser_->header_limit(limits_.max_header_bytes);
    parser_->body_limit(limits_.max_body_bytes);
    parser_->skip(head_);
}

std::string_view name_of(response_fault it)
{
    switch (it) {
    case response_fault::head:
        return "head";
    case response_fault::status:
        return "status";
    case response_fault::interim:
        return "interim";
    case response_fault::framing:
        return "framing";
    case response_fault::limit:
        return "limit";
    case response_fault::early_end:
        return "early_end";
    case response_fault::other_request:
        return "other_request";
    case response_fault::unproven:
        return "unproven";
    }
    return "unknown";
}

parse_state response_reader::reject(response_fault fault, std::string reason)
{
    fault_ = fault;
    error_reason_ = std::move(reason);
    return parse_state::bad;
}

bool response_reader::check_head()
{
    const auto& head = parser_->get();
    const auto status = head.result_int();
    if (!is_status_code(status)) {
        reject(response_fault::status,
               fmt::format("response has the status {:03}, which HTTP does not define", status));
        return false;
    }
    if (head.result() == http::status::switching_protocols) {
        reject(response_fault::interim, "server switches to another protocol unasked");
        return false;
    }
    const bool excludes_body = status / 100 == 1 || head.result() == http::status::no_content;
    if (excludes_body && announces_body(*parser_)) {
        reject(response_fault::framing, "response announces a body that its status excludes");
        return false;
    }
    const bool has_body = !head_ && head.result() != http::status::not_modified;
    if (has_body && !has_sound_coding(head)) {
        reject(response_fault::framing, "response has a transfer coding other than chunked");
        return false;
    }
    return true;
}

void response_reader::read_head()
{
    const auto& head = parser_->get();
    received_ = {};
    received_.response.status = static_cast<int>(head.result_int());
    received_.response.headers = end_to_end_headers(head);
    const auto length = parser_->content_length();
    if (head_ && length) {
        received_.response.headers.push_back({"Content-Length", std::to_string(*length)});
    }
    received_.keep_alive = head.keep_alive() && !parser_->need_eof();
    received_.keep_alive_timeout = keep_alive_timeout(view(head["Keep-Alive"]));
}

parse_state response_reader::feed(std::string& in)
{
    while (!in.empty()) {
        started_ = true;
        error_code ec;
        const bool in_header = !parser_->is_header_done();
        const auto used = parser_->put(asio::buffer(in.data(), in.size()), ec);
        header_lines_ += in_header ? count_lines(in, used) : 0;
        const bool continued = in_header && has_continued_line(in, used);
        in.erase(0, used);
        if (header_lines_ > max_header_lines) {
            ec = http::error::header_limit;
        }
        if (continued) {
            ec = http::error::bad_field;
        }
        if (!ec && body_too_long(*parser_, limits_.max_body_bytes)) {
            ec = http::error::body_limit;
        }
        if (ec && ec != http::error::need_more) {
            return reject(fault_of(ec),
                          "response is not valid HTTP or exceeds a limit: " + ec.message());
        }
        if (in_header && parser_->is_header_done()) {
            if (!check_head()) {
                return parse_state::bad;
            }
            read_head();
        }
        if (parser_->is_done()) {
            if (parser_->get().result_int() / 100 != 1) {
                return parse_state::complete;
            }
            if (++interim_responses_ > limits_.max_interim_responses) {
                return reject(response_fault::interim, "too many interim responses");
            }
            start_message(); // the final response follows
            continue;
        }
        if (ec || used == 0) {
            break;
        }
    }
    // The parser leaves an incomplete line, such as that of a chunk size, in the buffer.
    return in.size() > limits_.max_header_bytes
               ? reject(response_fault::limit, "a line of the response is too long")
               : parse_state::incomplete;
}

parse_state response_reader::end()
{
    error_code ec;
    if (started_ && parser_->is_header_done()) {
        parser_->put_eof(ec);
        if (!ec && parser_->is_done()) {
            return parse_state::complete;
        }
    }
    return parse_state::bad;
}

parsed_response response_reader::take()
{
    auto it = std::move(received_);
    it.response.body = std::move(parser_->get().body());
    return it;
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
                       view(http::obsolete_reason(static_cast<http::status>(it.status))));
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
