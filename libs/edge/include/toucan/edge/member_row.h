#pragma once

#include "toucan/edge/records.h"

#include <optional>
#include <string>
#include <string_view>

namespace toucan::edge {

/// Table with one row per daemon, which each daemon writes when it starts.
inline constexpr const char* member_table = "toucan-members";

/// Start of the keys of the daemons in a failure domain.
std::string member_key_prefix(const failure_domain_name& domain);
/// Key of a daemon's row: its failure domain and its name.
std::string member_key(const failure_domain_name& domain, const std::string& name);

/// Name of the daemon in a key; the key itself if it is not valid.
std::string member_name(std::string_view key);

/// @return the record as JSON text.
std::string encode_member(const member_record& it);
/// @param key see `member_key`.
/// @param value JSON text of the row.
/// @return nothing with a last reason if the value is not a valid row.
std::optional<member_record> decode_member(std::string_view key, std::string_view value);

} // namespace toucan::edge
