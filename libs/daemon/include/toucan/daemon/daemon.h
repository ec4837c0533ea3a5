#pragma once

#include "toucan/base/clock.h"
#include "toucan/daemon/settings.h"

#include <memory>

namespace toucan::daemon {

/// The daemon that runs on an entry VM.
class daemon {
public:
    /// @param options validated settings.
    /// @param time clock; outlives the daemon.
    daemon(settings options, const clock& time);
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    ~daemon();

    /// Binds the addresses and starts all threads.
    /// @return false with a last reason if an address cannot be bound.
    bool start();

    /// Shuts down gracefully: withdraws this VM from look-up answers, waits until cached answers
    /// have expired, refuses new calls and completes those in progress. Blocks for at most the
    /// drain limit.
    /// @return false if requests were still in progress at the limit.
    bool drain();

    /// Stops all threads.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace toucan::daemon
