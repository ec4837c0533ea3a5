#pragma once

#include <absl/synchronization/mutex.h>

#include <httplib.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace toucan::daemon {

/// Thread pool of the HTTP server, which occupies one thread per open connection. When all regular
/// threads are busy, a few overflow threads take further connections, so that their callers are
/// refused at once instead of waiting without an answer.
class connection_queue final : public httplib::TaskQueue {
public:
    /// @param threads number of connections served at the same time.
    explicit connection_queue(std::size_t threads);
    connection_queue(const connection_queue&) = delete;
    connection_queue& operator=(const connection_queue&) = delete;
    ~connection_queue() override = default;

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    /// Whether the calling thread is an overflow thread, which must refuse its requests.
    static bool is_overflow_thread();

private:
    struct work_queue {
        std::deque<std::function<void()>> tasks;
        std::size_t busy = 0;
    };

    void run(work_queue& queue, bool overflow);

    absl::Mutex mutex_;
    std::size_t limit_;
    work_queue regular_;
    work_queue overflow_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace toucan::daemon
