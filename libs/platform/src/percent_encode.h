#pragma once

#include <string>
#include <string_view>

namespace toucan::platform {

/// Percent-encodes text as one path segment: all bytes except unreserved characters become `%XX`.
std::string percent_encode(std::string_view text);

} // namespace toucan::platform
