#pragma once

#include "asio.h"
#include "byte_budget.h"

#include "toucan/base/http_header.h"
#include "toucan/base/http_request.h"
#include "toucan/base/http_response.h"
#include "toucan/base/parse_state.h"
#include "toucan/base/response_reader.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::edge {

namespace http = boost::beast::http;

/// A parsed request with its host and the keep-alive state of its connection.
struct parsed_request {
    http_request request;
    /// Value of the Host header without the port.
    std::string host;
    /// Whether the caller keeps the connection open for further requests.
    bool keep_alive = true;
    /// Memory of the request; held until the request ends.
    std::shared_ptr<byte_reservation> charge;
};

/// Memory that a request takes until it ends, with the overhead of its fields and of its handling.
std::size_t memory_of(const parsed_request& it);

/// Incremental parser for the requests of a connection.
class request_reader {
public:
    /// Longer headers, and those with more than 256 lines, are rejected with status 431, longer
    /// bodies with 413.
    request_reader(std::size_t max_header_bytes, std::size_t max_body_bytes);

    /// Parses received data.
    /// @param in received data; consumed bytes are erased.
    parse_state feed(std::string& in);
    /// Whether at least one byte of the current request was received.
    [[nodiscard]] bool started() const { return started_; }
    [[nodiscard]] bool header_complete() const { return parser_->is_header_done(); }
    /// Bytes of the body that are held so far.
    [[nodiscard]] std::size_t body_bytes() const { return parser_->get().body().size(); }
    /// Memory of the partly received request: fields with their overhead, and the announced body.
    [[nodiscard]] std::size_t memory() const;
    /// Whether the caller expects a 100 Continue response before it sends the body.
    [[nodiscard]] bool expects_continue() const;
    /// HTTP status for a rejected request: 400, 413 or 431.
    [[nodiscard]] int error_status() const { return error_status_; }
    [[nodiscard]] const std::string& error_reason() const { return error_reason_; }
    /// Returns the request without its body once the head is complete.
    [[nodiscard]] parsed_request head() const;
    /// Returns the complete request and resets the reader for the next one.
    parsed_request take();

private:
    void reset();

    std::size_t max_header_bytes_;
    std::size_t max_body_bytes_;
    std::optional<http::request_parser<http::string_body>> parser_;
    /// Lines of the current head that have been parsed.
    std::size_t header_lines_ = 0;
    /// Bytes of the current head that have been parsed.
    std::size_t header_bytes_ = 0;
    bool started_ = false;
    int error_status_ = 400;
    std::string error_reason_;
};

/// Returns the value of the first header with a name, compared case-insensitively.
/// @return an empty view if the header is missing.
std::string_view find_header(const std::vector<http_header>& headers, std::string_view name);
/// Removes all headers with a name, compared case-insensitively.
void remove_header(std::vector<http_header>& headers, std::string_view name);
/// Returns the value of a cookie in the request headers; empty if it is missing.
std::string_view find_cookie(const std::vector<http_header>& headers, std::string_view name);

/// Formats a request for HTTP/1.1 and adds Content-Length where needed.
std::string serialize(const http_request& it);
/// Formats the head of a request whose body is sent separately.
std::string serialize_head(const http_request& it, std::size_t body_bytes);
/// Formats a response for HTTP/1.1 and adds Content-Length and Connection where needed.
/// @param keep_alive whether the connection stays open; otherwise `Connection: close` is added.
/// @param head_only omits the body, for the response to a HEAD request.
std::string serialize(const http_response& it, bool keep_alive, bool head_only);
/// Formats the head of a response.
std::string serialize_head(const http_response& it, bool keep_alive, bool head_only);
/// Whether the response to a request has no body.
bool without_body(const http_response& it, bool head_only);

} // namespace toucan::edge
