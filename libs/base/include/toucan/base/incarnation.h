#pragma once

#include "toucan/base/clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace toucan {

/// Distinguishes a process from its former self at the same address. A later start compares higher.
class incarnation {
public:
    constexpr incarnation() = default;
    constexpr explicit incarnation(std::uint64_t value) : value_(value) {}

    /// @param wall start time; its microseconds become the high bits.
    /// @param salt random value; its low 10 bits separate processes started in the same instant.
    static incarnation start(wall_time wall, std::uint64_t salt);
    /// @param text hexadecimal digits as written by `to_string`.
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
