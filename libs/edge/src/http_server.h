#pragma once

#include "http_message.h"
#include "stream.h"

#include "toucan/base/clock.h"
#include "toucan/edge/routing_config.h"

#include <absl/container/flat_hash_set.h>

#include <functional>
#include <memory>

namespace toucan::edge {

class http_session;

/// HTTP/1.1 server that passes the requests of each connection to a handler, one at a time.
/// Not thread-safe; handlers run on the event loop.
class http_server {
public:
    /// Sends the response to a request; must be called at most once per request.
    using respond = std::function<void(http_response)>;
    /// Called when the caller disconnects before its response.
    using cancel = std::function<void()>;
    /// Handles a request. Returns the callback for a disconnect of the caller; may be empty.
    using request_handler = std::function<cancel(parsed_request, respond)>;
    /// Returns the limits for a new connection.
    using limits_source = std::function<caller_limits()>;

    http_server(asio::io_context& loop, const clock& time, request_handler handler,
                limits_source limits);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Binds the address and starts to accept connections.
    /// @return false, with the reason in `last_reason`, if the address cannot be bound.
    bool listen(const vm_address& address);
    /// Closes each connection after its next response.
    void close_after_responses() { draining_ = true; }
    /// Stops accepting connections and closes those without a request in progress.
    void stop_accepting();
    /// Stops accepting connections and closes all open ones.
    void close_all();

    /// Number of open connections.
    [[nodiscard]] std::size_t sessions() const { return sessions_.size(); }
    /// Number of requests without a response.
    [[nodiscard]] std::size_t in_progress() const { return in_progress_; }

private:
    friend class http_session;

    void accept();

    asio::io_context& loop_;
    const clock& time_;
    request_handler handler_;
    limits_source limits_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_timer_;
    absl::flat_hash_set<std::shared_ptr<http_session>> sessions_;
    std::size_t in_progress_ = 0;
    bool draining_ = false;
};

} // namespace toucan::edge
