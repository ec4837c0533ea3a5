#include "toucan/base/incarnation.h"

#include "toucan/base/last_reason.h"

#include <fmt/format.h>

#include <charconv>

namespace toucan {

incarnation incarnation::start(wall_time wall, std::uint64_t salt)
{
    constexpr std::uint64_t salt_bits = 10;
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(wall.time_since_epoch()).count();
    const auto low = salt & ((std::uint64_t{1} << salt_bits) - 1);
    return incarnation((static_cast<std::uint64_t>(micros) << salt_bits) | low);
}

std::optional<incarnation> incarnation::parse(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return fail(fmt::format("'{}' is not an incarnation (hexadecimal)", text));
    }
    return incarnation(value);
}

std::string incarnation::to_string() const
{
    return fmt::format("{:x}", value_);
}

} // namespace toucan
