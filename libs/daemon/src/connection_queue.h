#pragma once

#include <absl/synchronization/mutex.h>

#include <httplib.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace toucan::daemon {

/// Threads for the connections of the HTTP server, which holds one thread for each open
/// connection. When all are busy, a few spare threads take further connections, so that their
/// callers are refused at once instead of waiting without an answer.
class connection_queue final : public httplib::TaskQueue {
public:
    /// @param threads connections that are served at the same time.
    explicit connection_queue(std::size_t threads);
    connection_queue(const connection_queue&) = delete;
    connection_queue& operator=(const connection_queue&) = delete;
    ~connection_queue() override = default;

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    /// Whether the calling thread is a spare one, so that its request is to be refused.
    static bool is_spare_thread();

private:
    struct lane {
        std::deque<std::function<void()>> tasks;
        std::size_t busy = 0;
    };

    void run(lane& mine, bool spare);

    absl::Mutex mutex_;
    std::size_t limit_;
    lane regular_;
    lane spare_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace toucan::daemon
