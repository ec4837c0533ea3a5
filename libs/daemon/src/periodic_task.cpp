#include "periodic_task.h"

#include <absl/time/time.h>

#include <utility>

namespace toucan::daemon {

periodic_task::periodic_task(std::chrono::milliseconds interval, std::function<void()> run)
    : interval_(interval), run_(std::move(run)), thread_([this] { loop(); })
{
}

periodic_task::~periodic_task()
{
    {
        const absl::MutexLock lock(&mutex_);
        stopping_ = true;
    }
    thread_.join();
}

void periodic_task::loop()
{
    while (true) {
        run_();
        const absl::MutexLock lock(&mutex_);
        if (mutex_.AwaitWithTimeout(absl::Condition(&stopping_), absl::FromChrono(interval_))) {
            return;
        }
    }
}

} // namespace toucan::daemon
