#pragma once

#include "toucan/base/name.h"
#include "toucan/steering/backend_server.h"
#include "toucan/steering/operation_rule.h"
#include "toucan/steering/shift_cap.h"

#include <chrono>
#include <string_view>
#include <vector>

namespace toucan::steering {

/// Optimization goal of a service. `latency` keeps queues short; `headroom` accepts longer queues
/// and forwards requests to other failure domains earlier.
enum class objective { latency, headroom };

/// Admission priority when capacity does not suffice for all requests.
enum class request_class { urgent, deferrable };

/// Configuration of a service and its backend servers.
struct service {
    service_name name;
    objective goal = objective::latency;
    request_class priority = request_class::urgent;
    /// Deadline of requests that specify none, relative to their arrival.
    std::chrono::milliseconds default_deadline{2000};
    /// Expected requests per second, summed over all regions.
    double rate = 0;
    /// Fraction of the slots of a backend server that may be in use, 0 to 1.
    double headroom = 0.9;
    /// Limit on the ratio of extra attempts (retries and hedges) to requests, 0 to 1.
    double retry_share = 0.1;
    shift_cap shift;
    std::vector<operation_rule> operations;
    std::vector<backend_server> upstreams;

    friend bool operator==(const service&, const service&) = default;

    /// Applies the rule with the longest matching path prefix. If no rule matches, GET and HEAD are
    /// idempotent and all other methods are not.
    /// @param method HTTP method.
    /// @param path path within the service, beginning with `/`; may include a query.
    [[nodiscard]] bool is_idempotent(std::string_view method, std::string_view path) const;
};

} // namespace toucan::steering
