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

/// Runs the periodic membership sync with peers.
class peer_sync {
public:
    /// @param time clock of the schedule.
    /// @param table membership data to exchange.
    /// @param scheduler selects the peers that are due.
    /// @param peers client for calls to other daemons.
    /// @param workers threads that make the calls.
    /// @param on_complete called on a worker thread after each successful sync; may pull a
    /// configuration.
    peer_sync(const clock& time, membership::member_table& table,
              membership::sync_scheduler& scheduler, rpc::daemon_client& peers,
              worker_pool& workers, std::function<void(vm_address)> on_complete);

    /// Starts the syncs that are due. Skips peers with a sync in progress.
    void tick();

private:
    void exchange(vm_address peer);

    const clock& clock_;
    membership::member_table& table_;
    membership::sync_scheduler& scheduler_;
    rpc::daemon_client& peers_;
    worker_pool& workers_;
    std::function<void(vm_address)> on_complete_;
    absl::Mutex mutex_;
    absl::flat_hash_set<vm_address> in_progress_;
};

} // namespace toucan::daemon
