#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>

namespace toucan::operations {

/// Removes the first field and the `-` after it from the text.
/// @param rest remaining text; empty once the last field was taken.
/// @return the field without the separator.
inline std::string_view take_field(std::string_view& rest)
{
    const auto end = rest.find('-');
    const auto field = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    return field;
}

/// Parses a decimal number.
/// @return nothing if the text has other characters than digits or is out of range.
inline std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, value);
    if (text.empty() || ec != std::errc() || stop != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace toucan::operations
