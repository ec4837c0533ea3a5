#include "backend_watcher.h"

#include "toucan/backend/backend_poll.h"
#include "toucan/backend/config.h"

#include <utility>

namespace toucan::daemon {

backend_watcher::backend_watcher(const clock& time, home_table& homes, worker_pool& workers,
                                 leaving_hook leaving, alive_hook alive)
    : clock_(time), homes_(homes), workers_(workers), leaving_(std::move(leaving)),
      alive_(std::move(alive))
{
}

void backend_watcher::poll_all()
{
    for (const auto& it : homes_.all()) {
        // A full pool skips the poll; the next round comes soon.
        static_cast<void>(workers_.submit([this, it] { poll(it); }));
    }
}

void backend_watcher::poll(const std::shared_ptr<home>& it)
{
    const auto client = it->client();
    const auto result =
        backend::poll_backend(*client, clock_, clock_.now() + backend::config::poll_timeout);
    it->note_poll(result);
    if (!result.health) {
        return;
    }
    const auto run = incarnation::parse(result.health->incarnation).value_or(incarnation());
    const auto name = it->plan().backend.name;
    alive_(name, run);
    if (result.health->state == backend::backend_state::draining) {
        leaving_(name, run);
    }
}

} // namespace toucan::daemon
