#pragma once

#include "toucan/base/blocking_http_client.h"
#include "toucan/base/vm_address.h"
#include "toucan/platform/broken_response_hook.h"

#include <absl/synchronization/mutex.h>

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
    /// @param broken called for a response that arrived but is not used; may be empty.
    http_pool(const vm_address& address, std::chrono::milliseconds timeout,
              broken_response_hook broken);

    /// Runs a call on an idle or new connection. The connection returns to the pool if the call got
    /// a response, and is closed otherwise.
    blocking_http_client::result call(const http_request& request);

private:
    std::unique_ptr<blocking_http_client> acquire();
    void release(std::unique_ptr<blocking_http_client> client);

    const vm_address address_;
    const std::chrono::milliseconds timeout_;
    const broken_response_hook broken_;
    absl::Mutex mutex_;
    std::vector<std::unique_ptr<blocking_http_client>> idle_;
};

/// Describes the status of a response or why there is none.
std::string describe(const blocking_http_client::result& it);

} // namespace toucan::platform
