#pragma once

#include <absl/synchronization/mutex.h>

#include <chrono>
#include <functional>
#include <thread>

namespace toucan::daemon {

/// Runs a function periodically on a dedicated thread.
class periodic_task {
public:
    /// @param interval time between the end of a run and the start of the next one.
    /// @param run function to call; must not throw.
    periodic_task(std::chrono::milliseconds interval, std::function<void()> run);
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;
    /// Waits for a run in progress, then stops the thread.
    ~periodic_task();

private:
    void loop();

    std::chrono::milliseconds interval_;
    std::function<void()> run_;
    absl::Mutex mutex_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace toucan::daemon
