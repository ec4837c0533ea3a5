#pragma once

#include "toucan/edge/records.h"

#include <optional>
#include <string>
#include <string_view>

namespace toucan::edge {

/// Table with one row per daemon. Each daemon writes its own row, with its name as the key.
inline constexpr const char* member_table = "toucan-members";

/// @return the record as JSON text.
std::string encode_member(const member_record& it);
/// @param key name of the daemon.
/// @param value JSON text of the row.
/// @return nothing with a last reason if the value is not a valid row.
std::optional<member_record> decode_member(std::string_view key, std::string_view value);

} // namespace toucan::edge
