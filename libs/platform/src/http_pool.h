#pragma once

#include "toucan/base/vm_address.h"

#include <absl/synchronization/mutex.h>
#include <httplib.h>

#include <chrono>
#include <memory>
#include <vector>

namespace toucan::platform {

/// Pool of keep-alive connections to the platform. A connection serves one call at a time.
/// Thread-safe.
class http_pool {
public:
    /// @param address HTTP address of the platform.
    /// @param timeout applies separately to connecting, to sending and to each wait for a reply.
    http_pool(const vm_address& address, std::chrono::milliseconds timeout);

    /// Runs a call on an idle or new connection. The connection returns to the pool if the call got
    /// a response, and is closed otherwise.
    /// @param call receives an `httplib::Client` and returns an `httplib::Result`.
    template <typename F>
    httplib::Result run(F call)
    {
        auto client = acquire();
        auto result = call(*client);
        if (result) {
            release(std::move(client));
        }
        return result;
    }

private:
    std::unique_ptr<httplib::Client> acquire();
    void release(std::unique_ptr<httplib::Client> client);

    const vm_address address_;
    const std::chrono::milliseconds timeout_;
    absl::Mutex mutex_;
    std::vector<std::unique_ptr<httplib::Client>> idle_;
};

} // namespace toucan::platform
