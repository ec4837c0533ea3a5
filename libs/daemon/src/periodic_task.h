#pragma once

#include <absl/synchronization/mutex.h>

#include <chrono>
#include <functional>
#include <thread>

namespace toucan::daemon {

/// Runs a function again and again on a thread of its own, with a pause between two runs.
class periodic_task {
public:
    /// @param interval pause between the end of a run and the start of the next one.
    /// @param run what to do; it must not throw.
    periodic_task(std::chrono::milliseconds interval, std::function<void()> run);
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;
    /// Waits for a run in progress, then ends the thread.
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
