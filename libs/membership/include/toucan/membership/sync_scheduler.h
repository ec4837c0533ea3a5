#pragma once

#include "toucan/base/clock.h"
#include "toucan/membership/member_view.h"

#include <map>
#include <vector>

namespace toucan::membership {

/// Decides which peers to sync with. Not thread-safe.
class sync_scheduler {
public:
    /// Peers whose sync is due; each is then due again after its interval.
    /// @param view snapshot of the member table, taken at `now`.
    std::vector<vm_address> due(const member_view& view, steady_time now);

private:
    struct plan {
        steady_time last;
        milliseconds interval{0};
    };
    std::map<vm_address, plan> plans_;
};

} // namespace toucan::membership
