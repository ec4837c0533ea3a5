#include "backend_poller.h"

#include "toucan/backend/backend_poll.h"
#include "toucan/backend/config.h"

#include <utility>

namespace toucan::daemon {

backend_poller::backend_poller(const clock& time, home_table& homes, worker_pool& workers,
                               leaving_hook leaving, alive_hook alive)
    : clock_(time), homes_(homes), workers_(workers), leaving_(std::move(leaving)),
      alive_(std::move(alive))
{
}

void backend_poller::poll_all()
{
    for (const auto& it : homes_.all()) {
        // If the worker pool is full, the poll is skipped until the next round.
        static_cast<void>(workers_.submit([this, it] { poll(it); }));
    }
}

void backend_poller::poll(const std::shared_ptr<home>& it)
{
    const auto client = it->client();
    const auto result =
        backend::poll_backend(*client, clock_, clock_.now() + backend::config::poll_timeout);
    it->apply_poll(result);
    if (!result.health) {
        return;
    }
    const auto run = incarnation::parse(result.health->incarnation).value_or(incarnation());
    const auto name = it->assignment().backend.name;
    alive_(name, run);
    if (result.health->state == backend::backend_state::draining) {
        leaving_(name, run);
    }
}

} // namespace toucan::daemon
