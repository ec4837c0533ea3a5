#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::edge {

using std::chrono::milliseconds;

/// Time limits and shared limits that the deployment promises.
struct bounds {
    /// Between the request to stop and the forced end of the process.
    milliseconds stop_grace{6000};
    milliseconds max_directory_lifetime{5000};
    /// Resends allowed per request of a service.
    double retry_ratio = 0.2;
    /// Resends allowed in each window besides, over all daemons.
    double retry_extra = 100;
    milliseconds retry_window{10000};
    /// Factor and constant above the cold rate at which a cold backend server fails.
    double cold_factor = 1.5;
    double cold_slack = 5;
    /// Largest part of a region's requests that may change region from one 2 s window to the next.
    double max_shift = 0.15;

    friend bool operator==(const bounds&, const bounds&) = default;
};

/// Settings of one process. Immutable after reading.
struct settings {
    std::string name;
    failure_domain_name failure_domain;
    region_name region;
    /// Processor share of the VM, in cores.
    double capacity = 1;
    vm_address callers;
    vm_address readiness;
    vm_address directory;
    vm_address peers;
    vm_address metrics;
    vm_address store;
    /// Region of each failure domain.
    absl::flat_hash_map<failure_domain_name, region_name> regions;
    bounds limits;
    std::string log_level = "info";
};

/// Reads settings from TOML text.
/// @param text content of the file.
/// @return nothing with a last reason that names the field.
std::optional<settings> parse_settings(std::string_view text);
/// @param path of the settings file.
std::optional<settings> read_settings_file(const std::string& path);

} // namespace toucan::edge
