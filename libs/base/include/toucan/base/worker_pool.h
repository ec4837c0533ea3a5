#pragma once

#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace toucan {

/// Fixed-size thread pool with a bounded FIFO queue. Thread-safe.
class worker_pool {
public:
    /// @param threads number of worker threads; 0 counts as 1.
    /// @param max_queued maximum number of queued tasks; `submit` rejects further ones.
    worker_pool(std::size_t threads, std::size_t max_queued);
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;
    /// Runs the queued tasks, then joins the workers.
    ~worker_pool();

    /// Queues a task.
    /// @param task runs on a worker thread; it must not throw.
    /// @return false if the queue is full or the pool is stopping; the task does not run.
    bool submit(std::function<void()> task);

    /// Number of tasks that no worker has started.
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
