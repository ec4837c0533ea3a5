#pragma once

#include "toucan/operations/key_prefix.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace toucan::operations {

/// An issued operation key, `<prefix>.<n>`; the caller numbers its operations with n.
struct operation_key {
    key_prefix prefix;
    std::uint64_t n = 0;

    /// Accepts only the text that `to_string` writes, so that one key has one spelling.
    /// @param text value of `Toucan-Operation-Key`.
    static std::optional<operation_key> parse(std::string_view text);
    [[nodiscard]] std::string to_string() const;

    friend auto operator<=>(const operation_key&, const operation_key&) = default;

    template <typename H>
    // NOLINTNEXTLINE(readability-identifier-naming)
    friend H AbslHashValue(H state, const operation_key& it)
    {
        return H::combine(std::move(state), it.prefix, it.n);
    }
};

} // namespace toucan::operations
