#include "toucan/daemon/daemon.h"

#include "daemon_impl.h"

#include <utility>

namespace toucan::daemon {

daemon::daemon(settings options, const clock& time)
    : impl_(std::make_unique<impl>(std::move(options), time))
{
}

daemon::~daemon() = default;

bool daemon::start()
{
    return impl_->start();
}

bool daemon::drain()
{
    return impl_->drain();
}

void daemon::stop()
{
    impl_->stop();
}

} // namespace toucan::daemon
