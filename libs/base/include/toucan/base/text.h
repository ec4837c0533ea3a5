#pragma once

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <charconv>
#include <optional>
#include <string_view>
#include <vector>

// Debian's Abseil is built with its own string_view type. These helpers take std::string_view.
namespace toucan {

inline absl::string_view to_absl(std::string_view it)
{
    return {it.data(), it.size()};
}

inline std::string_view from_absl(absl::string_view it)
{
    return {it.data(), it.size()};
}

inline bool equals_ignoring_case(std::string_view lhs, std::string_view rhs)
{
    return absl::EqualsIgnoreCase(to_absl(lhs), to_absl(rhs));
}

/// Splits a text at a separator and strips white space from each field.
inline std::vector<std::string_view> split_fields(std::string_view text, char separator)
{
    std::vector<std::string_view> fields;
    for (const auto it : absl::StrSplit(to_absl(text), separator)) {
        fields.push_back(from_absl(absl::StripAsciiWhitespace(it)));
    }
    return fields;
}

/// Returns the value of a query parameter of a request target, not percent-decoded; empty if it is
/// missing.
inline std::string_view query_value(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos) {
        return {};
    }
    for (const auto pair : split_fields(target.substr(question + 1), '&')) {
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
            return pair.substr(equals + 1);
        }
    }
    return {};
}

/// Parses a number; the whole text must be consumed.
/// @return nothing if the text is not a number or out of range.
template <typename Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value{};
    const auto* end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc() && rest == end ? std::optional<Number>(value) : std::nullopt;
}

} // namespace toucan
