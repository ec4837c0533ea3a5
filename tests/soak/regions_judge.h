#pragma once

#include "history.h"
#include "judge.h"

#include <set>
#include <string>
#include <vector>

namespace toucan::soak {

/// Regions in which a request may run.
struct region_set {
    /// No configuration restricts the request.
    bool unrestricted = false;
    std::set<std::string> names = {};

    [[nodiscard]] bool contains(const std::string& region) const
    {
        return unrestricted || names.contains(region);
    }
    friend bool operator==(const region_set&, const region_set&) = default;
};

/// @return the route with the longest prefix that matches; nullptr if there is none.
[[nodiscard]] const written_route* find_route(const written_configuration& version,
                                              const sent_request& request);

/// Regions in which a request may run by one version: those of the route with the longest matching
/// prefix that are also allowed for the workspace of its key. Empty if the version has no such
/// route, or does not have the key of a route that needs one.
[[nodiscard]] region_set regions_allowed_by(const written_configuration& version,
                                            const sent_request& request);

/// Checks that each request that reached a backend server, whether it ran or was refused, reached
/// it in a region that a version in force allows.
///
/// In force are the versions from the oldest that the receiving daemon may still use, up to the
/// newest written when the request reached the server. The oldest one is the newest version that
/// was written at least `apply` before a reference time. For an unaffected daemon that is the time
/// at which the caller began to send. A daemon affected by faults may also have its configuration
/// from another affected daemon. Its reference time is therefore the earliest of the last times at
/// which each daemon was unaffected. Regions that all these versions have in common bind in every
/// state of the daemons.
///
/// @return one line for each kind of arrival (run, or refused with a status) outside the regions.
std::vector<std::string> check_allowed_regions(const history& it, const promised_bounds& bounds);

} // namespace toucan::soak
