#pragma once

#include "toucan/base/vm_address.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace toucan::ctl {

/// Asks a daemon over HTTP.
/// @param address HTTP address of the daemon.
/// @param path path and query.
/// @return the JSON body of a response with status 200, or nothing with a last reason.
std::optional<nlohmann::json> query_daemon(const vm_address& address, const std::string& path);

/// @return the configuration version that a daemon has in force, or nothing with a last reason.
std::optional<std::uint64_t> query_version(const vm_address& address);

/// Parses addresses of an option.
/// @return nothing, with a last reason, if one of them is wrong or there is none.
std::optional<std::vector<vm_address>> parse_addresses(const std::vector<std::string>& texts);

/// Writes JSON for people or for programs.
void print_json(const nlohmann::json& value, bool compact);

} // namespace toucan::ctl
