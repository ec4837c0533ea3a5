#pragma once

#include "toucan/steering/steering_source.h"

#include <optional>
#include <string>

namespace toucan::ctl {

/// Reads the steering files of a directory and prints all errors to standard error.
/// @param json also print the errors as JSON to standard output.
/// @return the configuration, or nothing if there is at least one error.
std::optional<steering::steering_source> load_source(const std::string& directory, bool json);

} // namespace toucan::ctl
