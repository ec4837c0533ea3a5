#pragma once

#include "history.h"

#include <string>
#include <vector>

namespace toucan::soak {

/// Bounds that the deployment promises to its users.
struct promised_bounds {
    std::chrono::milliseconds contact{4000};
    std::chrono::milliseconds drain{2500};
    std::chrono::milliseconds evacuate{5000};
    std::chrono::milliseconds apply{2500};
    std::chrono::milliseconds stop_grace{6000};
    std::chrono::milliseconds loss_slack{200};
    /// Requests in one second at a cold backend server.
    double cold_requests = 20;
    /// Resends in a window of ten seconds: part of the requests, and a constant.
    double retry_ratio = 0.2;
    double retry_extra = 120;
    /// Part of the requests that is served once everything is calm again.
    double recovered_share = 0.9;
};

/// Path prefixes that the judge knows the meaning of.
inline constexpr const char* home_prefix = "/home/";
inline constexpr const char* moved_prefix = "/moved/";
inline constexpr const char* home_region = "west";

/// Compares what callers and backend servers saw with what is promised.
/// @return one line for each promise that was broken, with the first case of it.
std::vector<std::string> broken_promises(const history& it, const promised_bounds& bounds);

} // namespace toucan::soak
