#pragma once

#include "toucan/base/clock.h"
#include "toucan/rpc/backend_load.h"

namespace toucan::daemon {

/// Load of a backend server and the time of its home's report.
struct reported_load {
    rpc::backend_load load;
    steady_time reported_at;
};

} // namespace toucan::daemon
