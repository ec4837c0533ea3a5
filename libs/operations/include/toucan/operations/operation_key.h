#pragma once

#include "toucan/operations/key_prefix.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace toucan::operations {

/// Issued operation key, `<prefix>.<n>`. The caller numbers its operations with n.
struct operation_key {
    key_prefix prefix;
    std::uint64_t n = 0;

    /// Accepts only the text that `to_string` writes, so that each key has one spelling.
    /// @param text value of `Toucan-Operation-Key`.
    /// @return nothing if the text is malformed; `last_reason` has the cause.
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
