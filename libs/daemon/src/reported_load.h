#pragma once

#include "toucan/base/clock.h"
#include "toucan/rpc/backend_load.h"

namespace toucan::daemon {

/// Load of a backend server and when its home was heard from.
struct reported_load {
    rpc::backend_load load;
    steady_time at;
};

} // namespace toucan::daemon
