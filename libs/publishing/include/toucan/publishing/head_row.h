#pragma once

#include "toucan/steering/manifest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::publishing {

/// Key of the head row in the table service of the platform.
inline constexpr const char* head_key = "head";

/// Table row that identifies the configuration in force by its manifest. Publishing changes no
/// other row.
struct head_row {
    std::uint64_t version = 0;
    /// Random 128-bit number as 32 hexadecimal digits, generated for each publish operation.
    std::string publisher_id;
    /// Shown to other publishers in conflicts and logs.
    std::string publisher_name;
    std::string manifest_hash;
    /// Empty for the first version.
    std::string parent_manifest_hash;
    /// Publisher id of the previous version; empty for the first version. A publisher whose reply
    /// was lost recognizes by it that its version was in force.
    std::string parent_publisher_id;
    /// Pieces that changed relative to the parent manifest. Absent if there are more than
    /// `config::max_changed_pieces_in_head` or the parent manifest could not be read.
    std::optional<std::vector<steering::piece_change>> changes;

    friend bool operator==(const head_row&, const head_row&) = default;
};

/// Encodes a head row as a JSON object.
std::string encode(const head_row& value);

/// Decodes a head row; accepts any input.
/// @return the head row, or nothing with a last reason.
std::optional<head_row> decode_head_row(std::string_view text);

} // namespace toucan::publishing
