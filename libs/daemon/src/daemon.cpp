#include "toucan/daemon/daemon.h"

#include "daemon_state.h"

#include <utility>

namespace toucan::daemon {

daemon::daemon(settings options, const clock& time)
    : state_(std::make_unique<state>(std::move(options), time))
{
}

daemon::~daemon() = default;

bool daemon::start()
{
    return state_->start();
}

bool daemon::drain()
{
    return state_->drain();
}

void daemon::stop()
{
    state_->stop();
}

} // namespace toucan::daemon
