#include "peer_sync.h"

#include "toucan/base/log.h"

#include <chrono>
#include <utility>
#include <variant>

namespace toucan::daemon {

namespace {

/// Below the time after which a peer counts as unreachable, above a round trip between regions.
constexpr std::chrono::milliseconds sync_timeout{1000};
/// A call that took this much longer than its timeout was delayed by a pause of this process.
constexpr std::chrono::milliseconds pause_tolerance{250};

} // namespace

peer_sync::peer_sync(const clock& time, membership::member_table& table,
                     membership::sync_scheduler& scheduler, rpc::daemon_client& peers,
                     worker_pool& workers, std::function<void(vm_address)> done)
    : clock_(time), table_(table), scheduler_(scheduler), peers_(peers), workers_(workers),
      done_(std::move(done))
{
}

void peer_sync::tick()
{
    for (const auto& peer : scheduler_.due(*table_.view(), clock_.now())) {
        {
            const absl::MutexLock lock(&mutex_);
            if (!under_way_.insert(peer).second) {
                continue;
            }
        }
        if (!workers_.submit([this, peer] { exchange(peer); })) {
            const absl::MutexLock lock(&mutex_);
            under_way_.erase(peer);
        }
    }
}

void peer_sync::exchange(vm_address peer)
{
    const auto begun = clock_.now();
    const auto reply = peers_.sync(peer, table_.make_sync(peer), sync_timeout);
    const bool paused = clock_.now() - begun > sync_timeout + pause_tolerance;
    if (const auto* answer = std::get_if<rpc::sync_reply>(&reply)) {
        table_.apply(peer, *answer);
    }
    else if (!paused) {
        // After a pause of this process the timeout says nothing about the peer. Counting it made a
        // resumed daemon believe that it was alone and act as the home of its peers' backend
        // servers.
        table_.note_unreachable(peer);
    }
    {
        const absl::MutexLock lock(&mutex_);
        under_way_.erase(peer);
    }
    if (std::holds_alternative<rpc::sync_reply>(reply)) {
        done_(peer);
    }
}

} // namespace toucan::daemon
