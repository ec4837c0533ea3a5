#include "peer_sync.h"

#include "toucan/base/log.h"

#include <chrono>
#include <utility>
#include <variant>

namespace toucan::daemon {

namespace {

/// Below `config::unreachable_after` and above a round trip between regions.
constexpr std::chrono::milliseconds sync_timeout{1000};
/// A call that exceeds its timeout by more than this was delayed by a pause of this process.
constexpr std::chrono::milliseconds pause_tolerance{250};

} // namespace

peer_sync::peer_sync(const clock& time, membership::member_table& table,
                     membership::sync_scheduler& scheduler, rpc::daemon_client& peers,
                     worker_pool& workers, std::function<void(vm_address)> on_complete)
    : clock_(time), table_(table), scheduler_(scheduler), peers_(peers), workers_(workers),
      on_complete_(std::move(on_complete))
{
}

void peer_sync::tick()
{
    for (const auto& peer : scheduler_.due(*table_.view(), clock_.now())) {
        {
            const absl::MutexLock lock(&mutex_);
            if (!in_progress_.insert(peer).second) {
                continue;
            }
        }
        if (!workers_.submit([this, peer] { exchange(peer); })) {
            const absl::MutexLock lock(&mutex_);
            in_progress_.erase(peer);
        }
    }
}

void peer_sync::exchange(vm_address peer)
{
    const auto started = clock_.now();
    const auto reply = peers_.sync(peer, table_.make_sync_request(peer), sync_timeout);
    const bool paused = clock_.now() - started > sync_timeout + pause_tolerance;
    if (const auto* answer = std::get_if<rpc::sync_reply>(&reply)) {
        table_.apply_sync_reply(peer, *answer);
    }
    else if (!paused) {
        // A timeout caused by a pause of this process is no evidence against the peer. Counting it
        // made a resumed daemon conclude that it was alone and act as the home of its peers'
        // backend servers.
        table_.record_sync_failure(peer);
    }
    {
        const absl::MutexLock lock(&mutex_);
        in_progress_.erase(peer);
    }
    if (std::holds_alternative<rpc::sync_reply>(reply)) {
        on_complete_(peer);
    }
}

} // namespace toucan::daemon
