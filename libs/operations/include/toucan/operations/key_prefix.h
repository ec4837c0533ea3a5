#pragma once

#include "toucan/base/vm_id.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace toucan::operations {

/// Prefix of issued operation keys. It names the owner, which executes the keys, and the witness,
/// which records the intents of the owner:
/// `k1-<owner ip:port>-<owner incarnation>-<witness ip:port>-<witness incarnation>-<issue number>`.
/// Without a witness both witness fields are `-`.
///
/// Example: `k1-10.0.0.1:7000-65f1a2b3c4d5e6-10.0.0.2:7000-65f1a2b3c4d5ff-17`
struct key_prefix {
    vm_id owner;
    std::optional<vm_id> witness;
    std::uint64_t number = 0;

    /// Accepts only the text that `to_string` writes.
    /// @param text prefix without the number of the caller.
    /// @return nothing if the text is malformed; `last_reason` has the cause.
    static std::optional<key_prefix> parse(std::string_view text);
    [[nodiscard]] std::string to_string() const;

    friend auto operator<=>(const key_prefix&, const key_prefix&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const key_prefix& it) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(state), it.owner, it.witness.value_or(vm_id()), it.number);
    }
};

} // namespace toucan::operations
