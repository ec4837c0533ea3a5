#pragma once

#include "byte_budget.h"
#include "connection_endings.h"
#include "connection_registry.h"
#include "http_message.h"
#include "stream.h"

#include "toucan/base/clock.h"
#include "toucan/edge/routing_config.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <optional>

namespace toucan::edge {

class http_session;

/// HTTP/1.1 server that passes the requests of each connection to a handler. Pipelined requests run
/// one after the other, except those that may overlap. Responses are sent in the order of the
/// requests. Not thread-safe; handlers run on the event loop.
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
    /// Returns whether a request may run beside other requests of its connection.
    using overlap_check = std::function<bool(const parsed_request&)>;

    /// Checks a request whose head is complete before its body is received. Returns a response to
    /// reject it.
    using head_check = std::function<std::optional<http_response>(const parsed_request&)>;
    /// Returns the response that refuses a request without running it.
    using refusal = std::function<http_response(const parsed_request&)>;

    /// @param may_overlap may be empty, if no requests may overlap.
    http_server(asio::io_context& loop, const clock& time, request_handler handler,
                limits_source limits, overlap_check may_overlap = {});
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Binds the address and starts to accept connections.
    /// @return false, with the reason in `last_reason`, if the address cannot be bound.
    bool listen(const vm_address& address);
    /// Limits the memory of connections, requests and responses. When it is used up, connections
    /// that wait for their callers are closed.
    void set_memory(std::shared_ptr<byte_budget> memory)
    {
        registry_->set_memory(std::move(memory));
    }
    /// Limits the open connections, closing ones included, and the requests that run beside others
    /// of their connection. At the limit, a connection that waits for its caller is closed.
    void set_max_connections(std::size_t it) { max_connections_ = it; }
    /// Sets the name of the port in the event log.
    void set_port_name(const std::string& it)
    {
        registry_->set_port(it);
        endings_->set_port(it);
    }
    /// Sets the header that identifies a request in the event log.
    void set_id_header(std::string it) { endings_->set_id_header(std::move(it)); }
    /// Open connections and what was closed or refused at the limits.
    [[nodiscard]] const connection_registry& connections() const { return *registry_; }
    /// How connections ended, and the requests without a response.
    [[nodiscard]] const connection_endings& endings() const { return *endings_; }
    /// Sets a check of the heads of requests that have a body.
    void set_head_check(head_check it) { head_check_ = std::move(it); }
    /// Sets the refusal of requests that arrive after the end of their connection was announced.
    void set_refusal(refusal it) { refusal_ = std::move(it); }
    /// Closes each connection after the responses to the requests that were received on it.
    void close_after_responses()
    {
        draining_ = true;
        endings_->set_verbose(true);
    }
    /// Announces the end of each connection with the next response that leaves none at work on it.
    /// Requests received behind it are refused. Otherwise a caller that always has a request at
    /// work would never be told.
    void end_connections() { ending_ = true; }
    /// Accepts the connections that callers have already opened, and stops listening.
    void stop_accepting();
    /// Closes the connections without a received request. A request that is on its way to one of
    /// them gets no response.
    void close_idle_connections();
    /// Stops accepting connections and closes all open ones.
    void close_all();

    /// Number of open connections.
    [[nodiscard]] std::size_t sessions() const { return sessions_.size(); }
    /// Number of closing connections whose last response may not have reached the caller yet.
    [[nodiscard]] std::size_t closing() const { return *closing_; }
    /// Number of requests without a response.
    [[nodiscard]] std::size_t in_progress() const { return in_progress_; }

private:
    friend class http_session;

    void accept();
    void on_accepted(error_code ec, tcp::socket socket);
    void add_session(tcp::socket socket);
    void stop_listening();
    void close_idle_sessions();

    asio::io_context& loop_;
    const clock& time_;
    request_handler handler_;
    limits_source limits_;
    overlap_check may_overlap_;
    head_check head_check_;
    refusal refusal_;
    std::shared_ptr<connection_registry> registry_;
    /// Shared with the closing connections, which may outlive the server.
    std::shared_ptr<connection_endings> endings_ = std::make_shared<connection_endings>();
    std::size_t max_connections_ = std::numeric_limits<std::size_t>::max();
    tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_timer_;
    absl::flat_hash_set<std::shared_ptr<http_session>> sessions_;
    std::size_t in_progress_ = 0;
    /// Shared with the closing connections, which may outlive the server.
    std::shared_ptr<std::size_t> closing_ = std::make_shared<std::size_t>(0);
    /// Expires with the server.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool draining_ = false;
    bool ending_ = false;
    /// All connections were closed; later ones are too.
    bool closed_ = false;
};

} // namespace toucan::edge
