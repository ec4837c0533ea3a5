#pragma once

#include "toucan/steering/piece.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::steering {

/// Where the content of a piece is found.
struct manifest_entry {
    std::string piece;
    std::string hash;
    std::uint64_t size = 0;

    friend bool operator==(const manifest_entry&, const manifest_entry&) = default;
};

/// A piece that differs between two manifests.
struct piece_change {
    std::string piece;
    /// Empty if the piece was removed.
    std::string hash;
    std::uint64_t size = 0;

    friend bool operator==(const piece_change&, const piece_change&) = default;
};

/// All pieces of one configuration, sorted by name.
struct manifest {
    std::vector<manifest_entry> entries;

    friend bool operator==(const manifest&, const manifest&) = default;
};

/// @param pieces sorted by name.
manifest make_manifest(const std::vector<piece>& pieces);
std::string encode(const manifest& value);
std::optional<manifest> decode_manifest(std::string_view text);

/// @return what turns `from` into `to`.
std::vector<piece_change> difference(const manifest& from, const manifest& to);
/// @param base manifest before the changes.
/// @param changes as returned by `difference`.
manifest apply_changes(const manifest& base, const std::vector<piece_change>& changes);

} // namespace toucan::steering
