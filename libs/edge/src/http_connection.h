#pragma once

#include "byte_budget.h"
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
    /// The send check has answered no; no byte of the request was sent.
    withheld,
    /// At least part of the request was sent, but no complete response was received. The request
    /// may have run.
    incomplete,
};

/// Request to which a response belongs.
enum class response_origin {
    this_request,
    /// Surplus response to an earlier request.
    other_request,
    /// The response does not name its request. It belongs to the current one, because the
    /// connection is closed after such a response and none can be surplus on it.
    unnamed,
};

/// Result of a request-response exchange.
struct exchange_result {
    exchange_end end = exchange_end::not_sent;
    /// Set if `end` is `exchange_end::response`.
    parsed_response response;
    /// Reason of a failure, for the event log.
    std::string reason;
    /// Set if a response arrived that is not used.
    std::optional<response_fault> fault = {};
    /// The connection has carried an exchange before, so a response that does not name its request
    /// may be a copy of an earlier one.
    bool reused_connection = false;
};

/// Client connection that runs one HTTP exchange at a time. Not thread-safe; handlers run on the
/// event loop.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    using handler = std::function<void(exchange_result)>;
    /// Returns to which request a response belongs.
    using response_check = std::function<response_origin(const http_response&)>;

    /// Returns whether the request may be sent.
    using send_check = std::function<bool()>;

    /// Limits on one exchange.
    struct exchange_limits {
        milliseconds connect_timeout{400};
        /// The peer counts as lost if it acknowledges nothing for this long.
        milliseconds silence_timeout{default_silence_timeout};
    };

    /// @param memory limits the memory of partly received responses; may be null.
    http_connection(asio::io_context& loop, const vm_address& peer, const clock& time,
                    std::shared_ptr<byte_budget> memory = nullptr)
        : loop_(loop), peer_(peer), time_(time), memory_(std::move(memory))
    {
    }

    /// Sets a check for the next `send`. It is asked if the connection has to be opened first,
    /// which takes time, directly before the first byte is written.
    void set_send_check(send_check it) { send_check_ = std::move(it); }
    /// Sends a request; connects first if the connection is not open.
    /// @param check may be empty, which accepts the first response.
    /// @param done called once, unless `abort` is called before.
    void send(const http_request& request, const exchange_limits& limits, response_check check,
              handler done)
    {
        send(request, nullptr, limits, std::move(check), std::move(done));
    }
    /// Sends a request with a body that other attempts may send too.
    /// @param body replaces the body of the request, if set; not copied unless it is short.
    void send(const http_request& request, std::shared_ptr<const std::string> body,
              const exchange_limits& limits, response_check check, handler done);
    /// Connects without a request, so that the first request needs not wait for the connection.
    /// @param max_idle time for which the open connection may be used.
    /// @param opened called once with the outcome, unless `abort` is called before.
    void open(const exchange_limits& limits, milliseconds max_idle,
              std::function<void(bool connected)> opened);
    /// Closes the connection without calling the exchange's handler or the idle close handler.
    void abort();
    /// Closes an idle connection and calls its idle close handler.
    void close();

    /// Time for which an idle connection is used, as far as the server has announced it.
    [[nodiscard]] milliseconds max_idle() const { return max_idle_; }
    /// Whether the connection is open, idle and within its keep-alive time.
    [[nodiscard]] bool reusable() const;
    /// Connection setup time; empty if the connection was never established.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> connect_duration() const
    {
        return connect_duration_;
    }
    /// `exchange_limits::silence_timeout` of the last exchange.
    [[nodiscard]] milliseconds silence_timeout() const { return silence_timeout_; }
    /// @param closed called when the connection closes while it is idle; may be empty.
    void on_idle_close(std::function<void()> closed) { idle_closed_ = std::move(closed); }

private:
    void connect(milliseconds timeout);
    void on_connected(tcp::socket socket);
    void on_connect_failed(const std::string& reason);
    void start_stream(tcp::socket socket);
    void write_request();
    void on_data(std::string& in);
    void on_close(stream::ending how);
    void on_response(parsed_response response, response_origin origin, bool surplus_bytes);
    /// Ends the exchange without a response and closes the connection.
    void give_up(const std::string& reason, std::optional<response_fault> fault = {});
    void complete(exchange_result result);
    [[nodiscard]] response_origin origin_of(const http_response& it) const;

    asio::io_context& loop_;
    vm_address peer_;
    const clock& time_;
    std::shared_ptr<tcp::socket> connecting_;
    std::unique_ptr<asio::steady_timer> connect_timer_;
    std::shared_ptr<stream> stream_;
    response_reader reader_;
    byte_reservation memory_;
    std::string request_bytes_;
    /// Body that is sent after `request_bytes_`; may be null.
    std::shared_ptr<const std::string> request_body_;
    std::string method_;
    response_check check_;
    send_check send_check_;
    handler done_;
    std::function<void()> idle_closed_;
    std::function<void(bool connected)> opened_;
    steady_time idle_since_;
    steady_time connect_started_;
    std::optional<std::chrono::nanoseconds> connect_duration_;
    std::chrono::milliseconds max_idle_{0};
    milliseconds silence_timeout_{default_silence_timeout};
    std::size_t surplus_responses_ = 0;
    bool write_complete_ = false;
    /// Exchanges so far, the present one included.
    std::uint64_t exchanges_ = 0;
    bool reusable_ = true;
};

} // namespace toucan::edge
