#pragma once

#include "toucan/steering/steering_error.h"
#include "toucan/steering/steering_file.h"
#include "toucan/steering/steering_source.h"

#include <filesystem>
#include <optional>
#include <vector>

namespace toucan::steering {

/// Name of the file with the topology and the client blocks.
inline constexpr const char* topology_file = "places.toml";

/// Reads and validates the steering files of a directory: `places.toml` and one other `*.toml` file
/// per service.
/// @param errors all errors found are appended, not only the first.
/// @return the configuration, or nothing if there is at least one error.
std::optional<steering_source> read_directory(const std::filesystem::path& directory,
                                              std::vector<steering_error>& errors);

/// Validates steering files that are already in memory; otherwise as `read_directory`.
/// @param files `places.toml` and one file per service.
/// @param errors all errors found are appended, sorted by file and line.
std::optional<steering_source> read_files(const std::vector<steering_file>& files,
                                          std::vector<steering_error>& errors);

} // namespace toucan::steering
