#include "connection_queue.h"

#include <utility>

namespace toucan::daemon {

namespace {

constexpr std::size_t overflow_threads = 8;

bool& overflow_flag()
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
    for (std::size_t it = 0; it < overflow_threads; ++it) {
        threads_.emplace_back([this] { run(overflow_, true); });
    }
}

void connection_queue::enqueue(std::function<void()> task)
{
    const absl::MutexLock lock(&mutex_);
    auto& target = regular_.busy + regular_.tasks.size() < limit_ ? regular_ : overflow_;
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

bool connection_queue::is_overflow_thread()
{
    return overflow_flag();
}

void connection_queue::run(work_queue& queue, bool overflow)
{
    overflow_flag() = overflow;
    const auto ready = [&] {
        return stopping_ || !queue.tasks.empty();
    };
    while (true) {
        std::function<void()> task;
        {
            const absl::MutexLock lock(&mutex_, absl::Condition(&ready));
            if (queue.tasks.empty()) {
                return;
            }
            task = std::move(queue.tasks.front());
            queue.tasks.pop_front();
            ++queue.busy;
        }
        task();
        const absl::MutexLock lock(&mutex_);
        --queue.busy;
    }
}

} // namespace toucan::daemon
