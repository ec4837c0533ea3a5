#pragma once

#include "toml_fields.h"
#include "toucan/steering/deployment_topology.h"
#include "toucan/steering/service.h"

#include <string>
#include <vector>

namespace toucan::steering {

/// Reads and validates the steering file of one service.
/// @param root the parsed file.
/// @param file file name for errors.
/// @param topology defines the failure domains that may be referred to. Null if it could not be
/// read; references are then not checked.
/// @param errors all errors found are appended.
/// @return the service; after errors, invalid fields have placeholder values.
service read_service(const toml::table& root, const std::string& file,
                     const deployment_topology* topology, std::vector<steering_error>& errors);

} // namespace toucan::steering
