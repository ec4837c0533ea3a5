#include "http_pool.h"

#include <fmt/format.h>

#include <utility>

namespace toucan::platform {

http_pool::http_pool(const vm_address& address, std::chrono::milliseconds timeout,
                     broken_response_hook broken)
    : address_(address), timeout_(timeout), broken_(std::move(broken))
{
}

blocking_http_client::result http_pool::call(const http_request& request)
{
    auto client = acquire();
    auto result = client->call(request);
    const auto* failed = std::get_if<http_call_failed>(&result);
    if (failed == nullptr) {
        release(std::move(client));
    }
    else if (failed->fault && broken_) {
        broken_(*failed->fault, failed->reason);
    }
    return result;
}

std::unique_ptr<blocking_http_client> http_pool::acquire()
{
    {
        const absl::MutexLock lock(&mutex_);
        if (!idle_.empty()) {
            auto client = std::move(idle_.back());
            idle_.pop_back();
            return client;
        }
    }
    return std::make_unique<blocking_http_client>(address_, timeout_);
}

void http_pool::release(std::unique_ptr<blocking_http_client> client)
{
    constexpr std::size_t max_idle = 8;
    const absl::MutexLock lock(&mutex_);
    if (idle_.size() < max_idle) {
        idle_.push_back(std::move(client));
    }
}

std::string describe(const blocking_http_client::result& it)
{
    if (const auto* failed = std::get_if<http_call_failed>(&it)) {
        return failed->fault ? fmt::format("the platform's response is broken ({})", failed->reason)
                             : fmt::format("the platform did not answer ({})", failed->reason);
    }
    return fmt::format("the platform answered with status {}", std::get<http_response>(it).status);
}

} // namespace toucan::platform
