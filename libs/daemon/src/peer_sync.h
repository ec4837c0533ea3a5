#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/worker_pool.h"
#include "toucan/membership/member_table.h"
#include "toucan/membership/sync_scheduler.h"
#include "toucan/rpc/daemon_client.h"

#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>

#include <functional>

namespace toucan::daemon {

/// Exchanges membership with peers when it is due.
class peer_sync {
public:
    /// @param time clock of the schedule.
    /// @param table what is exchanged.
    /// @param scheduler decides who is due.
    /// @param peers calls other daemons.
    /// @param workers run the calls.
    /// @param done told after each completed exchange; may pull a configuration.
    peer_sync(const clock& time, membership::member_table& table,
              membership::sync_scheduler& scheduler, rpc::daemon_client& peers,
              worker_pool& workers, std::function<void(vm_address)> done);

    /// Starts the exchanges that are due. A peer whose last exchange has not ended is left out.
    void tick();

private:
    void exchange(vm_address peer);

    const clock& clock_;
    membership::member_table& table_;
    membership::sync_scheduler& scheduler_;
    rpc::daemon_client& peers_;
    worker_pool& workers_;
    std::function<void(vm_address)> done_;
    absl::Mutex mutex_;
    absl::flat_hash_set<vm_address> under_way_;
};

} // namespace toucan::daemon
