#pragma once

#include "toucan/base/http_header.h"
#include "toucan/base/http_request.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::backend {

/// Compares header names.
bool same_name(std::string_view lhs, std::string_view rhs);

/// Headers without those that concern one connection only.
/// @param headers headers of a request or a response.
std::vector<http_header> end_to_end(const std::vector<http_header>& headers);

/// Text of a request with exactly the headers that belong to it.
/// @param request what to send.
/// @param host value of `Host`.
/// @param left remaining time budget.
/// @return nothing, with a last reason, if a part of the request cannot be sent safely.
std::optional<std::string> write_request_text(const http_request& request, std::string_view host,
                                              std::chrono::milliseconds left);

/// Header lines of a response, as received.
/// @param head text from the status line to the empty line.
/// @return nothing, with a last reason, if a line is malformed.
std::optional<std::vector<http_header>> read_header_lines(std::string_view head);

/// How the end of a response body is found.
enum class framing {
    length,
    chunked,
    /// The status or the method excludes a body.
    no_body,
    /// Only the end of the connection, or contradictory headers: a truncation would go unnoticed.
    unsafe,
};

/// @param method method of the request.
/// @param status status of the response.
/// @param headers headers of the response.
framing framing_of(std::string_view method, int status, const std::vector<http_header>& headers);

} // namespace toucan::backend
