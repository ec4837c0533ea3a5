#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace toucan::edge {

using std::chrono::milliseconds;

/// Time limits and deployment-wide limits from the settings file.
struct bounds {
    /// Time between the stop signal and the forced end of the process.
    milliseconds stop_grace{6000};
    /// Upper bound on the lifetime of a look-up answer.
    milliseconds max_directory_lifetime{5000};
    /// Retries allowed per request of a service.
    double retry_ratio = 0.2;
    /// Additional retries allowed per window, over all daemons.
    double retry_extra = 100;
    milliseconds retry_window{10000};
    /// A cold backend server fails above `cold_factor` times its cold rate plus `cold_slack`
    /// requests per second.
    double cold_factor = 1.5;
    double cold_slack = 5;
    /// Largest share of a region's requests that may move to another region from one 2 s window to
    /// the next.
    double max_shift = 0.15;
    /// Whether requests with a key are refused once the operator's table has not been confirmed for
    /// `revocation_time`, because a key may have been withdrawn.
    bool strict_revocation = false;
    milliseconds revocation_time{5000};
    /// Bound on the requests of a workspace that start within any window, over all daemons:
    /// (rate x window + burst) x (1 + overage) + slack.
    milliseconds quota_window{5000};
    double quota_overage = 0.1;
    double quota_slack = 20;

    friend bool operator==(const bounds&, const bounds&) = default;
};

/// Settings of one daemon process. Only `limits` changes when the daemon reloads the file.
struct settings {
    std::string name;
    failure_domain_name failure_domain;
    region_name region;
    /// CPU capacity of the VM, in cores; may be a fraction of one core.
    double capacity = 1;
    /// Memory that the process may use, in MiB.
    double memory_mb = 256;
    /// File descriptors that the process may use.
    std::size_t max_descriptors = 4096;
    /// Listen address for requests of callers.
    vm_address callers;
    /// Listen address for readiness checks.
    vm_address readiness;
    /// Listen address for directory look-ups.
    vm_address directory;
    /// Address for datagrams (UDP) and table relay calls (TCP) of other daemons.
    vm_address peers;
    /// Listen address for the metrics and state pages.
    vm_address metrics;
    /// Address of the shared store.
    vm_address store;
    /// Region of each failure domain.
    absl::flat_hash_map<failure_domain_name, region_name> regions;
    bounds limits;
    std::string log_level = "info";
};

/// Parses settings in TOML.
/// @return nothing with a last reason that names the field or line if the text is not valid.
std::optional<settings> parse_settings(std::string_view text);
/// Reads and parses a settings file.
/// @return nothing with a last reason if the file cannot be read or is not valid.
std::optional<settings> read_settings_file(const std::string& path);

} // namespace toucan::edge
