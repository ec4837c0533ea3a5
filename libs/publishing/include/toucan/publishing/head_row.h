#pragma once

#include "toucan/steering/manifest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::publishing {

/// Key of the head row in the table service.
inline constexpr const char* head_key = "head";

/// Names the configuration in force. The only row that publishing changes.
struct head_row {
    std::uint64_t version = 0;
    /// Random 128 bits as 32 hexadecimal digits, one for each publish.
    std::string publisher_id;
    std::string publisher_name;
    std::string manifest_hash;
    /// Empty for the first version.
    std::string parent_manifest_hash;
    /// Lets a publisher whose reply was lost see that its version was in force before this one.
    std::string parent_publisher_id;
    /// What changed relative to the parent; nothing if there are too many changes to list.
    std::optional<std::vector<steering::piece_change>> changes;

    friend bool operator==(const head_row&, const head_row&) = default;
};

std::string encode(const head_row& value);
/// Accepts any input.
/// @return the head row, or nothing with a last reason.
std::optional<head_row> decode_head_row(std::string_view text);

} // namespace toucan::publishing
