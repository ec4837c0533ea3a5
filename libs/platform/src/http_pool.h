#pragma once

#include "toucan/base/vm_address.h"

#include <absl/synchronization/mutex.h>
#include <httplib.h>

#include <chrono>
#include <memory>
#include <vector>

namespace toucan::platform {

/// Keep-alive connections to the platform. A connection serves one call at a time.
class http_pool {
public:
    /// @param address of the platform.
    /// @param timeout for connecting, for sending and for each wait for a reply.
    http_pool(const vm_address& address, std::chrono::milliseconds timeout);

    /// Runs a call on a connection of its own and takes the connection back if the call worked.
    /// @param call receives an `httplib::Client` and returns an `httplib::Result`.
    template <typename F>
    httplib::Result run(F call)
    {
        auto client = take();
        auto result = call(*client);
        if (result) {
            give_back(std::move(client));
        }
        return result;
    }

private:
    std::unique_ptr<httplib::Client> take();
    void give_back(std::unique_ptr<httplib::Client> client);

    const vm_address address_;
    const std::chrono::milliseconds timeout_;
    absl::Mutex mutex_;
    std::vector<std::unique_ptr<httplib::Client>> idle_;
};

} // namespace toucan::platform
