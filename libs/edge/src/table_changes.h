#pragma once

#include "toucan/edge/table_client.h"

#include <optional>
#include <string>
#include <string_view>

namespace toucan::edge {

/// Encodes a version and rows for another daemon: a packed Cap'n Proto message, compressed if it is
/// long.
std::string encode_changes(const table_result& it);
/// @return nothing with a last reason if the bytes are not valid table changes.
std::optional<table_result> decode_changes(std::string_view bytes);
/// Applies changes to a snapshot of the same table.
/// @param newer changes after the version of the snapshot.
void merge_changes(table_result& snapshot, const table_result& newer);

} // namespace toucan::edge
