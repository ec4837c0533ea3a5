#pragma once

#include "toucan/base/clock.h"
#include "toucan/daemon/settings.h"

#include <memory>

namespace toucan::daemon {

/// One daemon: everything that runs on an entry VM.
class daemon {
public:
    /// @param options checked settings.
    /// @param time clocks; outlives the daemon.
    daemon(settings options, const clock& time);
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    ~daemon();

    /// Binds the addresses and starts all threads.
    /// @return false with a last reason if an address cannot be bound.
    bool start();

    /// Graceful shutdown: leaves look-up answers, waits until cached answers have lapsed, refuses
    /// new work, finishes what is under way. Blocks for at most the drain limit.
    /// @return false if work was still under way at the limit.
    bool drain();

    /// Ends all threads.
    void stop();

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace toucan::daemon
