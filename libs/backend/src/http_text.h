#pragma once

#include "toucan/base/http_header.h"
#include "toucan/base/http_request.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::backend {

/// Compares header names without regard to case (ASCII).
bool same_name(std::string_view lhs, std::string_view rhs);

/// Returns the headers without hop-by-hop headers, `Content-Length` and `Expect`. Headers that a
/// `Connection` header lists also count as hop-by-hop.
std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers);

/// Writes a request as HTTP/1.1 text. Adds no headers besides `Host`, `Toucan-Deadline-Ms` and
/// `Content-Length`.
/// @param host value of `Host`.
/// @param time_left value of `Toucan-Deadline-Ms`.
/// @return empty, with a last reason, if the method, the path or a header is malformed.
std::optional<std::string> write_request_text(const http_request& request, std::string_view host,
                                              std::chrono::milliseconds time_left);

} // namespace toucan::backend
