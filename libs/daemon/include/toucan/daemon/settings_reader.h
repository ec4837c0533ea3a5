#pragma once

#include "toucan/daemon/settings.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace toucan::daemon {

/// Help was requested: the program should print this text and exit with status 0.
struct settings_help {
    std::string text;
};

/// All errors found in invalid settings.
struct settings_errors {
    std::vector<std::string> errors;
};

using settings_result = std::variant<settings, settings_help, settings_errors>;

/// Reads settings from flags and, where a flag is absent, from environment variables. For example,
/// the variable of `--listen-http` is `TOUCAN_LISTEN_HTTP`.
/// @param arguments command line including the program name.
/// @param environment returns the value of a variable, or nothing if it is not set.
settings_result
read_settings(const std::vector<std::string>& arguments,
              const std::function<std::optional<std::string>(const std::string&)>& environment);

} // namespace toucan::daemon
