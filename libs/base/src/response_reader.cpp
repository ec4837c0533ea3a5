#include "toucan/base/response_reader.h"

#include "toucan/base/http_syntax.h"
#include "toucan/base/message_head.h"
#include "toucan/base/text.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <fmt/format.h>

#include <iterator>
#include <utility>

namespace toucan {

namespace {

namespace http = boost::beast::http;
using error_code = boost::system::error_code;

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

} // namespace

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

parse_state response_reader::reject(response_fault fault, std::string reason)
{
    fault_ = fault;
    error_reason_ = std::move(reason);
    return parse_state::bad;
}

bool response_reader::check_head()
{
    const auto& head = parser_->get();
    const auto status = static_cast<int>(head.result_int());
    // The parser accepts any three digits.
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
    received_.keep_alive_timeout = keep_alive_timeout(from_boost(head["Keep-Alive"]));
}

parse_state response_reader::feed(std::string& in)
{
    while (!in.empty()) {
        started_ = true;
        error_code ec;
        const bool in_header = !parser_->is_header_done();
        const auto used = parser_->put(boost::asio::buffer(in.data(), in.size()), ec);
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
    start_message(); // an idle connection must not hold the fields of its last response
    return it;
}

} // namespace toucan
