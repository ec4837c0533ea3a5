#pragma once

#include <string_view>

namespace toucan {

/// Whether a text may be the name of a header or a method (RFC 9110, 5.6.2).
bool is_token(std::string_view text);
/// Whether a text may stand in a header line: no control characters but tabs, which could end the
/// line early.
bool is_line_text(std::string_view text);
/// Whether HTTP defines the class of a status code.
bool is_status_code(int status);

} // namespace toucan
