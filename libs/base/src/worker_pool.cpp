#include "toucan/base/worker_pool.h"

#include <algorithm>
#include <utility>

namespace toucan {

worker_pool::worker_pool(std::size_t threads, std::size_t max_queued) : max_queued_(max_queued)
{
    for (std::size_t it = 0; it < std::max<std::size_t>(threads, 1); ++it) {
        threads_.emplace_back([this] { run(); });
    }
}

worker_pool::~worker_pool()
{
    {
        const absl::MutexLock lock(&mutex_);
        stopping_ = true;
    }
    for (auto& it : threads_) {
        it.join();
    }
}

bool worker_pool::submit(std::function<void()> task)
{
    const absl::MutexLock lock(&mutex_);
    if (stopping_ || tasks_.size() >= max_queued_) {
        return false;
    }
    tasks_.push_back(std::move(task));
    return true;
}

std::size_t worker_pool::queued() const
{
    const absl::MutexLock lock(&mutex_);
    return tasks_.size();
}

void worker_pool::run()
{
    const auto can_proceed = [this] {
        return stopping_ || !tasks_.empty();
    };
    while (true) {
        std::function<void()> task;
        {
            const absl::MutexLock lock(&mutex_, absl::Condition(&can_proceed));
            if (tasks_.empty()) {
                return;
            }
            task = std::move(tasks_.front());
            tasks_.pop_front();
        }
        task();
    }
}

} // namespace toucan
