#pragma once

#include "toucan/base/http_request.h"
#include "toucan/base/http_response.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace toucan::edge {

/// Result of an HTTP request.
struct http_result {
    /// Empty if no complete response was received.
    std::optional<http_response> response;
    /// Reason of the missing response, for the log.
    std::string reason;
};

/// Asynchronous HTTP client for one server. Each handler is called exactly once, on the event loop.
class http_client {
public:
    using handler = std::function<void(http_result)>;

    virtual ~http_client() = default;

    /// @param limit maximum time until the complete response.
    virtual void send(http_request request, std::chrono::milliseconds limit, handler done) = 0;
    /// Closes the idle connections, so that the next request opens one.
    virtual void close_idle() = 0;
};

} // namespace toucan::edge
