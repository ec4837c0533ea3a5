#pragma once

#include "toucan/base/http_request.h"
#include "toucan/base/http_response.h"
#include "toucan/base/response_fault.h"
#include "toucan/base/vm_address.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace toucan {

/// Why a call has no response.
struct http_call_failed {
    std::string reason;
    /// No connection was established, so nothing was sent.
    bool not_sent = false;
    /// Set if a response arrived that is not used.
    std::optional<response_fault> fault = {};
};

/// HTTP/1.1 client of one server whose calls block. Keeps its connection open between calls. Not
/// thread-safe.
class blocking_http_client {
public:
    using result = std::variant<http_response, http_call_failed>;

    /// @param timeout applies separately to connecting, to sending and to each wait for bytes.
    blocking_http_client(const vm_address& server, std::chrono::milliseconds timeout);
    blocking_http_client(const blocking_http_client&) = delete;
    blocking_http_client& operator=(const blocking_http_client&) = delete;
    ~blocking_http_client();

    /// Sends a request and waits for the complete response. Adds `Host` and `Content-Length`.
    result call(const http_request& request);

private:
    class connection;

    std::unique_ptr<connection> connection_;
};

} // namespace toucan
