#pragma once

#include "toucan/daemon/settings.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace toucan::daemon {

/// The program is to print this text and to exit with status 0.
struct settings_help {
    std::string text;
};

/// The settings are not usable; every error is listed.
struct settings_errors {
    std::vector<std::string> errors;
};

using settings_result = std::variant<settings, settings_help, settings_errors>;

/// Reads settings from flags and, where a flag is absent, from environment variables. The variable
/// of
/// `--listen-http` is `TOUCAN_LISTEN_HTTP`, and so on.
/// @param arguments command line including the program name.
/// @param environment returns the value of a variable, or nothing.
settings_result
read_settings(const std::vector<std::string>& arguments,
              const std::function<std::optional<std::string>(const std::string&)>& environment);

} // namespace toucan::daemon
