#pragma once

#include "toucan/steering/piece.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::steering {

/// Refers to the content of a piece by its hash.
struct manifest_entry {
    std::string piece;
    /// Content hash, which is the name of the object that holds the piece.
    std::string hash;
    /// Size of the content in bytes.
    std::uint64_t size = 0;

    friend bool operator==(const manifest_entry&, const manifest_entry&) = default;
};

/// A piece that was added, replaced or removed between two manifests.
struct piece_change {
    std::string piece;
    /// Empty if the piece was removed.
    std::string hash;
    std::uint64_t size = 0;

    friend bool operator==(const piece_change&, const piece_change&) = default;
};

/// List of all pieces of one configuration, sorted by piece name.
struct manifest {
    std::vector<manifest_entry> entries;

    friend bool operator==(const manifest&, const manifest&) = default;
};

/// Hashes the pieces and lists them in a manifest.
/// @param pieces sorted by name.
manifest make_manifest(const std::vector<piece>& pieces);

/// Encodes a manifest as a JSON array of `[piece, hash, size]`.
std::string encode(const manifest& value);
/// Accepts any input.
/// @return the manifest, or nothing with a last reason.
std::optional<manifest> decode_manifest(std::string_view text);

/// @return the changes that turn `from` into `to`, sorted by piece name.
std::vector<piece_change> difference(const manifest& from, const manifest& to);
/// Applies changes that were returned by `difference`.
/// @param base manifest before the changes.
/// @return the manifest after the changes, sorted by piece name.
manifest apply_changes(const manifest& base, const std::vector<piece_change>& changes);

} // namespace toucan::steering
