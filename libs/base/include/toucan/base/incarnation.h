#pragma once

#include "toucan/base/clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace toucan {

/// Identifies one run of a process. A later start at the same address yields a higher value.
class incarnation {
public:
    constexpr incarnation() = default;
    constexpr explicit incarnation(std::uint64_t value) : value_(value) {}

    /// @param wall start time; its microseconds since the epoch form the high bits.
    /// @param salt random value; its low 10 bits separate processes started in the same
    /// microsecond.
    static incarnation start(wall_time wall, std::uint64_t salt);
    /// @param text hexadecimal digits as written by `to_string`.
    /// @return empty, with a last reason, if the text is not a hexadecimal 64-bit number.
    static std::optional<incarnation> parse(std::string_view text);

    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }
    [[nodiscard]] std::string to_string() const;

    friend constexpr auto operator<=>(const incarnation&, const incarnation&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const incarnation& it) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(state), it.value_);
    }

private:
    std::uint64_t value_ = 0;
};

} // namespace toucan
