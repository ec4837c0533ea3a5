#pragma once

#include "toucan/base/http_response.h"
#include "toucan/base/parse_state.h"
#include "toucan/base/response_fault.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucan {

/// A parsed response with the keep-alive state of its connection.
struct parsed_response {
    http_response response;
    bool keep_alive = true;
    /// `timeout` of the Keep-Alive header: idle time after which the peer closes the connection.
    std::optional<std::chrono::seconds> keep_alive_timeout;
};

/// Limits on one response. They bound the memory and the time that a peer can take which sends
/// without end.
struct response_limits {
    std::uint32_t max_header_bytes = 64U << 10U;
    std::uint64_t max_body_bytes = 16U << 20U;
    /// Interim (1xx) responses before the final one.
    std::size_t max_interim_responses = 8;
};

/// Incremental parser for the responses of a connection.
class response_reader {
public:
    explicit response_reader(const response_limits& limits = {}) : limits_(limits)
    {
        expect("GET");
    }

    /// Resets the reader for the response to a request.
    /// @param method request method; a response to HEAD has no body.
    void expect(std::string_view method);
    /// Parses received data. Skips interim (1xx) responses.
    /// @param in received data; consumed bytes are erased.
    parse_state feed(std::string& in);
    /// Bytes of the body that are held so far.
    [[nodiscard]] std::size_t body_bytes() const { return parser_->get().body().size(); }
    /// Why `feed` returned `parse_state::bad`.
    [[nodiscard]] response_fault fault() const { return fault_; }
    /// Description of the fault, for the event log.
    [[nodiscard]] const std::string& error_reason() const { return error_reason_; }
    /// Handles the end of the connection, which completes a response without a length.
    /// @return `bad` if the response is incomplete.
    parse_state end();
    /// Whether the head is complete and the body ends with the connection.
    [[nodiscard]] bool ends_with_connection() const
    {
        return parser_->is_header_done() && parser_->need_eof();
    }
    /// Whether at least one byte of the current response was received.
    [[nodiscard]] bool started() const { return started_; }
    /// Returns the complete response. `expect` must be called before the next one.
    parsed_response take();

private:
    void start_message();
    /// Checks what the parser accepts in a head although the status or the body is in doubt.
    /// @return false, with the fault, if the response is broken.
    bool check_head();
    /// Reads the head once it is complete. The parser adds the fields behind the last chunk to it
    /// later; these are not used, because they would count as fields of the head.
    void read_head();
    parse_state reject(response_fault fault, std::string reason);

    response_limits limits_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    /// Response without its body, once the head is complete.
    parsed_response received_;
    response_fault fault_ = response_fault::head;
    std::string error_reason_;
    std::size_t interim_responses_ = 0;
    /// Lines of the current head that have been parsed.
    std::size_t header_lines_ = 0;
    bool head_ = false;
    bool started_ = false;
};

} // namespace toucan
