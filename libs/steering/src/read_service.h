#pragma once

#include "toml_fields.h"
#include "toucan/steering/places.h"
#include "toucan/steering/service.h"

#include <string>
#include <vector>

namespace toucan::steering {

/// Reads the file of one service.
/// @param root the parsed file.
/// @param file name for errors.
/// @param topology places that may be referred to; null if they could not be read, in which case
/// references are not checked.
service read_service(const toml::table& root, const std::string& file, const places* topology,
                     std::vector<steering_error>& errors);

} // namespace toucan::steering
