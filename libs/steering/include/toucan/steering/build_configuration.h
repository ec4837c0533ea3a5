#pragma once

#include "toucan/steering/configuration.h"
#include "toucan/steering/manifest.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace toucan::steering {

/// Returns the verified content of a piece, or null if it is not at hand.
using piece_reader = std::function<std::shared_ptr<const std::string>(const manifest_entry&)>;

/// A configuration and the manifest that it was built from.
struct built_configuration {
    const configuration& value;
    const manifest& pieces;
};

/// @param version of the new configuration.
/// @param pieces what the configuration consists of.
/// @param read returns the content of each piece.
/// @param previous its client block table is used again if no block piece differs.
/// @return the configuration, or nothing with a last reason.
std::optional<configuration>
build_configuration(std::uint64_t version, const manifest& pieces, const piece_reader& read,
                    const std::optional<built_configuration>& previous = std::nullopt);

} // namespace toucan::steering
