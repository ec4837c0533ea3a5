#pragma once

#include "toucan/steering/steering_error.h"
#include "toucan/steering/steering_file.h"
#include "toucan/steering/steering_source.h"

#include <filesystem>
#include <optional>
#include <vector>

namespace toucan::steering {

/// Name of the file with regions, failure domains, links and client blocks.
inline constexpr const char* places_file = "places.toml";

/// Reads and checks `places.toml` and every other `*.toml` of a directory, one file per service.
/// @param directory holds the steering files.
/// @param errors receives everything that is wrong.
/// @return the content, or nothing if there is at least one error.
std::optional<steering_source> read_directory(const std::filesystem::path& directory,
                                              std::vector<steering_error>& errors);

/// Checks texts that are already in memory.
/// @param files must contain `places.toml`.
/// @param errors receives everything that is wrong.
std::optional<steering_source> read_files(const std::vector<steering_file>& files,
                                          std::vector<steering_error>& errors);

} // namespace toucan::steering
