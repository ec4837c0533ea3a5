#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::operations {

/// A key chosen by the caller, `c1-<unix ms>-<text>`. The text has 1 to 128 of `[A-Za-z0-9._~-]`.
struct caller_key {
    std::int64_t unix_ms = 0;
    std::string text;

    /// @param text value of `Toucan-Operation-Key`.
    static std::optional<caller_key> parse(std::string_view text);
    [[nodiscard]] std::string to_string() const;

    friend auto operator<=>(const caller_key&, const caller_key&) = default;
};

/// @param text value of `Toucan-Operation-Key`.
/// @return whether it is an issued key or a caller-chosen key; anything else is a bad request.
bool is_well_formed_key(std::string_view text);

} // namespace toucan::operations
