#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::operations {

/// Operation key chosen by the caller, `c1-<unix ms>-<text>`. The text has 1 to 128 characters of
/// `[A-Za-z0-9._~-]`.
struct caller_key {
    std::int64_t unix_ms = 0;
    std::string text;

    /// Accepts only the text that `to_string` writes, so that each key has one spelling.
    /// @param text value of `Toucan-Operation-Key`.
    /// @return nothing if the text is malformed; `last_reason` has the cause.
    static std::optional<caller_key> parse(std::string_view text);
    [[nodiscard]] std::string to_string() const;

    friend auto operator<=>(const caller_key&, const caller_key&) = default;
};

/// Whether the text is an issued key or a caller-chosen key. Any other text is a bad request.
/// @param text value of `Toucan-Operation-Key`.
bool is_well_formed_key(std::string_view text);

} // namespace toucan::operations
