#pragma once

#include "http_connection.h"

#include "toucan/edge/http_client.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace toucan::edge {

/// HTTP client for one server. Keeps idle connections open and reuses them.
class pooled_http_client final : public http_client {
public:
    /// Called for a response that arrived but is not used.
    using broken_hook = std::function<void(response_fault fault, const std::string& reason)>;

    /// @param broken may be empty.
    pooled_http_client(asio::io_context& loop, const clock& time, const vm_address& peer,
                       broken_hook broken = {})
        : loop_(loop), time_(time), peer_(peer), broken_(std::move(broken))
    {
    }

    void send(http_request request, milliseconds limit, handler done) override;
    void close_idle() override;

private:
    std::shared_ptr<http_connection> take_connection();

    asio::io_context& loop_;
    const clock& time_;
    vm_address peer_;
    broken_hook broken_;
    std::vector<std::shared_ptr<http_connection>> idle_;
};

} // namespace toucan::edge
