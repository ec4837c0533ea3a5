#pragma once

#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace toucan {

/// A fixed number of threads that run queued tasks in order of arrival.
class worker_pool {
public:
    /// @param threads number of workers, at least 1.
    /// @param max_queued tasks beyond this are refused.
    worker_pool(std::size_t threads, std::size_t max_queued);
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;
    /// Runs what is queued, then joins the workers.
    ~worker_pool();

    /// @param task what to run; it must not throw.
    /// @return false if the queue is full or the pool is stopping; the task is then not run.
    bool submit(std::function<void()> task);

    [[nodiscard]] std::size_t queued() const;

private:
    void run();

    mutable absl::Mutex mutex_;
    std::deque<std::function<void()>> tasks_;
    std::size_t max_queued_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace toucan
