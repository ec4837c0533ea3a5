#pragma once

#include "toucan/base/vm_address.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace toucan::ctl {

/// Sends an HTTP GET request to a daemon. Connecting, reading and writing time out after 3 s each.
/// @param address HTTP address of the daemon.
/// @param path path and query.
/// @return the JSON body of a response with status 200, or nothing with a last reason.
std::optional<nlohmann::json> query_daemon(const vm_address& address, const std::string& path);

/// Queries the configuration version that is in force on a daemon.
/// @return the version, or nothing with a last reason.
std::optional<std::uint64_t> query_version(const vm_address& address);

/// Parses the addresses of `--daemons`.
/// @return nothing, with a last reason, if an address is invalid or the list is empty.
std::optional<std::vector<vm_address>> parse_addresses(const std::vector<std::string>& texts);

/// Prints JSON to standard output.
/// @param compact on one line; otherwise indented.
void print_json(const nlohmann::json& value, bool compact);

} // namespace toucan::ctl
