#pragma once

#include <atomic>

namespace toucan::backend {

/// Asks a request in progress to stop; its connection is then closed. Thread-safe.
class cancellation {
public:
    void cancel() { cancelled_.store(true, std::memory_order_relaxed); }
    [[nodiscard]] bool is_cancelled() const { return cancelled_.load(std::memory_order_relaxed); }

private:
    std::atomic<bool> cancelled_{false};
};

} // namespace toucan::backend
