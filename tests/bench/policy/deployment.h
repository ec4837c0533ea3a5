#pragma once

#include "toucan/base/clock.h"
#include "toucan/steering/deployment_topology.h"
#include "toucan/steering/service.h"

#include <string>
#include <vector>

namespace toucan::bench {

/// A service and the service time that the benchmark assumes for it.
struct service_model {
    steering::service service;
    std::chrono::nanoseconds mean_service_time;
};

/// One organization with the sizes given on the design page.
struct deployment {
    std::string name;
    steering::deployment_topology topology;
    std::vector<service_model> services;
    /// One-way delay between client and entry VM.
    milliseconds client_delay{1};
};

/// The two deployments of the benchmark.
[[nodiscard]] std::vector<deployment> both_deployments();

} // namespace toucan::bench
