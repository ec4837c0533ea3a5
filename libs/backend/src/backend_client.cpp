#include "toucan/backend/backend_client.h"

#include "connection.h"

#include <absl/time/time.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace toucan::backend {

backend_client::backend_client(vm_address address, std::size_t connections, const clock& time,
                               broken_response_hook broken)
    : address_(address), clock_(time), broken_(std::move(broken)),
      limit_(std::max<std::size_t>(connections, 1))
{
}

backend_client::~backend_client() = default;

dispatch_result backend_client::send(const http_request& request, steady_time deadline,
                                     const operations::dispatch_guard& guard,
                                     const cancellation* cancel)
{
    auto it = acquire_connection(deadline);
    if (!it) {
        return not_sent{"no free connection to the backend server"};
    }
    auto result = it->exchange(request, deadline, guard, cancel);
    release_connection(std::move(it));
    const auto* failed = std::get_if<interrupted>(&result);
    if (failed != nullptr && failed->fault && broken_) {
        broken_(address_, *failed->fault, failed->reason);
    }
    return result;
}

std::unique_ptr<connection> backend_client::acquire_connection(steady_time deadline)
{
    const auto is_available = [this] {
        return !idle_.empty() || open_ < limit_;
    };
    {
        const absl::MutexLock lock(&mutex_);
        const auto left = std::max<std::chrono::nanoseconds>(deadline - clock_.now(), {});
        if (!mutex_.AwaitWithTimeout(absl::Condition(&is_available), absl::FromChrono(left))) {
            return nullptr;
        }
        if (!idle_.empty()) {
            auto it = std::move(idle_.back());
            idle_.pop_back();
            return it;
        }
        ++open_;
    }
    return std::make_unique<connection>(address_, clock_);
}

void backend_client::release_connection(std::unique_ptr<connection> it)
{
    {
        const absl::MutexLock lock(&mutex_);
        if (it->is_reusable() && open_ <= limit_) {
            idle_.push_back(std::move(it));
            return;
        }
        --open_;
    }
    // Closes the connection outside the lock.
    it.reset();
}

void backend_client::set_max_connections(std::size_t connections)
{
    std::vector<std::unique_ptr<connection>> closing;
    const absl::MutexLock lock(&mutex_);
    limit_ = std::max<std::size_t>(connections, 1);
    while (open_ > limit_ && !idle_.empty()) {
        closing.push_back(std::move(idle_.back()));
        idle_.pop_back();
        --open_;
    }
}

backend_client::counts backend_client::read_counts() const
{
    const absl::MutexLock lock(&mutex_);
    return {open_, idle_.size()};
}

} // namespace toucan::backend
