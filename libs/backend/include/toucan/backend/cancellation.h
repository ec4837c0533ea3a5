#pragma once

#include <atomic>

namespace toucan::backend {

/// Flag that aborts a request in progress and closes its connection. Thread-safe.
class cancellation {
public:
    void cancel() { cancelled_.store(true, std::memory_order_relaxed); }
    [[nodiscard]] bool is_cancelled() const { return cancelled_.load(std::memory_order_relaxed); }

private:
    std::atomic<bool> cancelled_{false};
};

} // namespace toucan::backend
