#pragma once

#include "toucan/steering/configuration.h"
#include "toucan/steering/manifest.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace toucan::steering {

/// Returns the content of a piece, whose hash has been verified, or null if it is not available.
using piece_reader = std::function<std::shared_ptr<const std::string>(const manifest_entry&)>;

/// A configuration and the manifest from which it was built. Both must outlive this object.
struct built_configuration {
    const configuration& value;
    const manifest& pieces;
};

/// Decodes the pieces of a manifest and checks that every failure domain referred to is defined.
/// @param version version of the new configuration.
/// @param pieces manifest of the new configuration.
/// @param read called for each piece that has to be decoded.
/// @param previous its client block table is shared if all client block pieces are unchanged.
/// @return the configuration, or nothing with a last reason.
std::optional<configuration>
build_configuration(std::uint64_t version, const manifest& pieces, const piece_reader& read,
                    const std::optional<built_configuration>& previous = std::nullopt);

} // namespace toucan::steering
