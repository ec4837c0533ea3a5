#pragma once

#include "toucan/base/config.h"
#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucan::daemon {

/// Settings of a daemon, read from flags and environment variables.
struct settings {
    vm_address listen_http;
    vm_address listen_rpc;
    failure_domain_name failure_domain;
    region_name region;
    std::optional<vm_address> platform;
    std::vector<vm_address> seeds;
    std::string log_level = "info";
    std::chrono::seconds drain_limit = config::drain_limit;
    std::chrono::milliseconds lookup_lifetime = config::lookup_lifetime;
    std::size_t http_threads = config::http_threads;
    /// Test only: calls to the first address are sent to the second.
    std::map<vm_address, vm_address> peer_overrides;
    /// Test only: names of mechanisms that are switched off to verify that a check detects their
    /// absence.
    std::set<std::string> disabled;

    friend bool operator==(const settings&, const settings&) = default;

    /// @param mechanism name of a mechanism that tests can switch off.
    [[nodiscard]] bool is_disabled(const std::string& mechanism) const
    {
        return disabled.count(mechanism) > 0;
    }
};

} // namespace toucan::daemon
