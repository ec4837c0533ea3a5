#pragma once

#include <string>
#include <string_view>

namespace toucan::platform {

/// Encodes text as one path segment: everything but unreserved characters becomes `%XX`.
std::string percent_encode(std::string_view text);

} // namespace toucan::platform
