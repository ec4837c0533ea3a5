#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string_view>

namespace toucan {

/// Parts of the system that write logs; each has a fixed prefix.
enum class log_part { config, member, ops, policy, rpc, http, platform, daemon };

/// The logger of a part. Lines carry the prefix of the part, for example `[config]`.
/// @param part who writes.
spdlog::logger& log(log_part part);

/// Sets the lowest level that is written, for all parts.
/// @param level `trace`, `debug`, `info`, `warn`, `error` or `off`.
/// @return false if the level is not one of these.
bool set_log_level(std::string_view level);

} // namespace toucan
