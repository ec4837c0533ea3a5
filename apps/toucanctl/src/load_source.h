#pragma once

#include "toucan/steering/steering_source.h"

#include <optional>
#include <string>

namespace toucan::ctl {

/// Reads a directory and prints everything that is wrong, on standard error or as JSON.
std::optional<steering::steering_source> load_source(const std::string& directory, bool json);

} // namespace toucan::ctl
