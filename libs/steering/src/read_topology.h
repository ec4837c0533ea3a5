#pragma once

#include "toml_fields.h"
#include "toucan/steering/client_block.h"
#include "toucan/steering/deployment_topology.h"

#include <string>
#include <vector>

namespace toucan::steering {

/// Reads and validates `places.toml`. After errors, `topology` still contains the valid names, so
/// that references to them cause no further errors.
/// @param root the parsed file.
/// @param file file name for errors.
/// @param blocks receives the client blocks.
/// @param errors all errors found are appended.
void read_topology(const toml::table& root, const std::string& file, deployment_topology& topology,
                   std::vector<client_block>& blocks, std::vector<steering_error>& errors);

} // namespace toucan::steering
