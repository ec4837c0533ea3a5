#pragma once

#include "history.h"

#include <string>
#include <vector>

namespace toucan::soak {

/// Bounds that the deployment has to keep.
struct promised_bounds {
    /// A daemon is checked only if no injected fault affected it for this time.
    std::chrono::milliseconds fault_free_time{4000};
    /// Longest time from the announcement of a leaving backend server to its last new request.
    std::chrono::milliseconds drain{2500};
    /// Longest time from the order to evacuate a failure domain to the last new request there.
    std::chrono::milliseconds evacuate{5000};
    /// Longest time from the write of a configuration until it is in force at all daemons.
    std::chrono::milliseconds apply{2500};
    std::chrono::milliseconds stop_grace{6000};
    /// A request that was sent to a stopping daemon may lose its connection within this time, if it
    /// was not executed.
    std::chrono::milliseconds loss_slack{200};
    /// Maximum number of executions within 1 s at a cold backend server.
    double cold_requests_per_s = 20;
    /// Maximum number of resends to a service within 10 s: this ratio of its first executions in
    /// that time, plus retry_extra.
    double retry_ratio = 0.2;
    double retry_extra = 120;
    /// Memory of a VM, in MiB.
    std::size_t memory_mb = 182;
    /// Share of requests with status 200 after all faults have ended.
    double min_served_share = 0.9;
};

/// Path prefix of the route that is restricted to restricted_region.
inline constexpr const char* restricted_prefix = "/home/";
/// Path prefix of the route whose service changes with each configuration.
inline constexpr const char* moved_prefix = "/moved/";
inline constexpr const char* restricted_region = "west";

/// Checks the records of callers and backend servers against the bounds.
/// @return one line for each broken promise, with its first violation.
std::vector<std::string> broken_promises(const history& it, const promised_bounds& bounds);

} // namespace toucan::soak
