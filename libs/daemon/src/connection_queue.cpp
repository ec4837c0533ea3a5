#include "connection_queue.h"

#include <utility>

namespace toucan::daemon {

namespace {

constexpr std::size_t spare_threads = 8;

bool& spare_flag()
{
    thread_local bool flag = false;
    return flag;
}

} // namespace

connection_queue::connection_queue(std::size_t threads) : limit_(threads)
{
    for (std::size_t it = 0; it < threads; ++it) {
        threads_.emplace_back([this] { run(regular_, false); });
    }
    for (std::size_t it = 0; it < spare_threads; ++it) {
        threads_.emplace_back([this] { run(spare_, true); });
    }
}

void connection_queue::enqueue(std::function<void()> task)
{
    const absl::MutexLock lock(&mutex_);
    auto& target = regular_.busy + regular_.tasks.size() < limit_ ? regular_ : spare_;
    target.tasks.push_back(std::move(task));
}

void connection_queue::shutdown()
{
    {
        const absl::MutexLock lock(&mutex_);
        stopping_ = true;
    }
    for (auto& it : threads_) {
        it.join();
    }
    threads_.clear();
}

bool connection_queue::is_spare_thread()
{
    return spare_flag();
}

void connection_queue::run(lane& mine, bool spare)
{
    spare_flag() = spare;
    const auto ready = [&] {
        return stopping_ || !mine.tasks.empty();
    };
    while (true) {
        std::function<void()> task;
        {
            const absl::MutexLock lock(&mutex_, absl::Condition(&ready));
            if (mine.tasks.empty()) {
                return;
            }
            task = std::move(mine.tasks.front());
            mine.tasks.pop_front();
            ++mine.busy;
        }
        task();
        const absl::MutexLock lock(&mutex_);
        --mine.busy;
    }
}

} // namespace toucan::daemon
