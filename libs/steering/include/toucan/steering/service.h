#pragma once

#include "toucan/base/name.h"
#include "toucan/steering/backend_server.h"
#include "toucan/steering/operation_rule.h"
#include "toucan/steering/shift_cap.h"

#include <chrono>
#include <string_view>
#include <vector>

namespace toucan::steering {

/// What a service weighs most.
enum class objective { latency, headroom };

/// Order of admission when not everything fits.
enum class request_class { urgent, deferrable };

/// A service and its backend servers.
struct service {
    service_name name;
    objective goal = objective::latency;
    request_class priority = request_class::urgent;
    /// Time budget of a request that names none.
    std::chrono::milliseconds default_deadline{2000};
    /// Expected requests per second over all regions.
    double rate = 0;
    /// Share of the slots of a backend server that is used, 0 to 1.
    double headroom = 0.9;
    double retry_share = 0.1;
    shift_cap shift;
    std::vector<operation_rule> operations;
    std::vector<backend_server> upstreams;

    friend bool operator==(const service&, const service&) = default;

    /// Longest matching rule; without one, GET and HEAD are idempotent and the rest is not.
    /// @param method HTTP method.
    /// @param path path below the service, beginning with `/`.
    [[nodiscard]] bool is_idempotent(std::string_view method, std::string_view path) const;
};

} // namespace toucan::steering
