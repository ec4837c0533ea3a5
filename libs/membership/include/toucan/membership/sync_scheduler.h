#pragma once

#include "toucan/base/clock.h"
#include "toucan/membership/member_view.h"

#include <map>
#include <vector>

namespace toucan::membership {

/// Decides when to sync with which peers. The interval of a failing peer doubles up to
/// `config::max_retry_interval`. Not thread-safe.
class sync_scheduler {
public:
    /// Returns the peers whose sync is due. Each of them becomes due again after its interval.
    /// @param view snapshot of the member table, taken at `now`.
    std::vector<vm_address> due(const member_view& view, steady_time now);

private:
    struct peer_schedule {
        steady_time last_due;
        milliseconds interval{0};
    };
    std::map<vm_address, peer_schedule> schedules_;
};

} // namespace toucan::membership
