#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string_view>

namespace toucan {

/// Components that write logs. Each has its own logger and a fixed line prefix.
enum class log_part { config, member, ops, policy, rpc, http, platform, daemon };

/// The logger of a component. It writes to standard error, with a line prefix such as `[config]`.
spdlog::logger& log(log_part part);

/// Sets the minimum level that is written, for all components.
/// @param level `trace`, `debug`, `info`, `warn`, `error` or `off`.
/// @return false, without an effect, if the level is not one of these.
bool set_log_level(std::string_view level);

} // namespace toucan
