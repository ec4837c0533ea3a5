#pragma once

#include "toml_fields.h"
#include "toucan/steering/client_block.h"
#include "toucan/steering/places.h"

#include <string>
#include <vector>

namespace toucan::steering {

/// Reads `places.toml`. After errors, the names that were found are still returned, so that
/// references to them raise no further errors.
/// @param root the parsed file.
/// @param file name for errors.
void read_places(const toml::table& root, const std::string& file, places& topology,
                 std::vector<client_block>& blocks, std::vector<steering_error>& errors);

} // namespace toucan::steering
