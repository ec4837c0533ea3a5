#pragma once

#include "http_message.h"
#include "stream.h"

#include "toucan/base/clock.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace toucan::edge {

/// How a request-response exchange has ended.
enum class exchange_end {
    /// A complete response was received.
    response,
    /// No byte of the request was sent; it cannot have run.
    not_sent,
    /// At least part of the request was sent, but no complete response was received. The request
    /// may have run.
    incomplete,
};

/// Result of a request-response exchange.
struct exchange_result {
    exchange_end end = exchange_end::not_sent;
    /// Set if `end` is `exchange_end::response`.
    parsed_response response;
    /// Reason of a failure, for the event log.
    std::string reason;
};

/// Client connection that runs one HTTP exchange at a time. Not thread-safe; handlers run on the
/// event loop.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    using handler = std::function<void(exchange_result)>;
    /// Returns whether a response belongs to the current request. Other responses are discarded.
    using response_check = std::function<bool(const http_response&)>;

    http_connection(asio::io_context& loop, const vm_address& peer, const clock& time)
        : loop_(loop), peer_(peer), time_(time)
    {
    }

    /// Sends a request; connects first if the connection is not open.
    /// @param connect_timeout maximum time to connect.
    /// @param check may be empty, which accepts the first response.
    /// @param done called once, unless `abort` is called before.
    void send(const http_request& request, milliseconds connect_timeout, response_check check,
              handler done);
    /// Closes the connection without calling the exchange's handler or the idle close handler.
    void abort();
    /// Closes an idle connection and calls its idle close handler.
    void close();

    /// Whether the connection is open, idle and within its keep-alive time.
    [[nodiscard]] bool reusable() const;
    /// Connection setup time; empty if the connection was never established.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> connect_duration() const
    {
        return connect_duration_;
    }
    /// @param closed called when the connection closes while it is idle; may be empty.
    void on_idle_close(std::function<void()> closed) { idle_closed_ = std::move(closed); }

private:
    void connect(milliseconds timeout);
    void start_stream(tcp::socket socket);
    void write_request();
    void on_data(std::string& in);
    void on_close(stream::ending how);
    void complete(exchange_result result);

    asio::io_context& loop_;
    vm_address peer_;
    const clock& time_;
    std::shared_ptr<tcp::socket> connecting_;
    std::unique_ptr<asio::steady_timer> connect_timer_;
    std::shared_ptr<stream> stream_;
    response_reader reader_;
    std::string request_bytes_;
    std::string method_;
    response_check check_;
    handler done_;
    std::function<void()> idle_closed_;
    steady_time idle_since_;
    steady_time connect_started_;
    std::optional<std::chrono::nanoseconds> connect_duration_;
    std::chrono::milliseconds max_idle_{0};
    bool write_complete_ = false;
    bool reusable_ = true;
};

} // namespace toucan::edge
