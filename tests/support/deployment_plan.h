#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace toucan::test {

/// A failure domain of a test deployment.
struct domain_plan {
    std::string name;
    std::string region;
    std::size_t entry_vms = 2;
};

/// A service of a test deployment. `POST` requests to `/orders` and paths below it are not
/// idempotent; all other requests are.
struct service_plan {
    std::string name = "checkdesk";
    std::string objective = "latency";
    std::string request_class = "urgent";
    std::size_t backends_per_domain = 2;
    std::uint32_t slots = 8;
    std::uint32_t connections = 700;
    std::uint32_t service_ms = 5;
    std::uint32_t default_deadline_ms = 2000;
    double rate = 200;
    double headroom = 0.9;
    double retry_share = 0.1;
    double shift_share = 1;
    std::uint32_t shift_interval_s = 1;
    /// Names of the backend servers that the steering file marks as leaving.
    std::set<std::string> leaving = {};
};

/// Parameters of a test deployment.
struct deployment_plan {
    std::vector<domain_plan> domains = {{"north-a", "north"}, {"south-a", "south"}};
    std::vector<service_plan> services = {{}};
    /// Routes connections between daemons, and from daemons to the platform, through the proxy.
    bool proxied = false;
    std::uint32_t lookup_lifetime_ms = 1000;
    std::uint32_t drain_limit_s = 60;
    std::string log_level = "info";
    /// Mechanisms disabled by the hidden flag `--disable`, to show that a check then fails.
    std::vector<std::string> disabled = {};
};

} // namespace toucan::test
