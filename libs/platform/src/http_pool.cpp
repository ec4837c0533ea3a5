#include "http_pool.h"

#include <utility>

namespace toucan::platform {

http_pool::http_pool(const vm_address& address, std::chrono::milliseconds timeout)
    : address_(address), timeout_(timeout)
{
}

std::unique_ptr<httplib::Client> http_pool::acquire()
{
    {
        const absl::MutexLock lock(&mutex_);
        if (!idle_.empty()) {
            auto client = std::move(idle_.back());
            idle_.pop_back();
            return client;
        }
    }
    auto client = std::make_unique<httplib::Client>(address_.ip_text(), address_.port());
    client->set_connection_timeout(timeout_);
    client->set_read_timeout(timeout_);
    client->set_write_timeout(timeout_);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    return client;
}

void http_pool::release(std::unique_ptr<httplib::Client> client)
{
    constexpr std::size_t max_idle = 8;
    const absl::MutexLock lock(&mutex_);
    if (idle_.size() < max_idle) {
        idle_.push_back(std::move(client));
    }
}

} // namespace toucan::platform
