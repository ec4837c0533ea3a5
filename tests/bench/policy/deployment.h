#pragma once

#include "toucan/base/clock.h"
#include "toucan/steering/places.h"
#include "toucan/steering/service.h"

#include <string>
#include <vector>

namespace toucan::bench {

/// A service and what the benchmark assumes about its requests.
struct service_model {
    steering::service service;
    std::chrono::nanoseconds mean_service_time;
};

/// One organisation with the sizes of the design page.
struct deployment {
    std::string name;
    steering::places places;
    std::vector<service_model> services;
    milliseconds client_delay{1};
};

[[nodiscard]] std::vector<deployment> both_deployments();

} // namespace toucan::bench
