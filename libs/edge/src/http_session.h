#pragma once

#include "connection_registry.h"
#include "http_message.h"
#include "http_server.h"
#include "stream.h"

#include "toucan/base/clock.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace toucan::edge {

/// One connection of a caller to an `http_server`.
///
/// Requests that the caller pipelines are read ahead up to a limit. Above it, reading pauses and
/// TCP holds the caller back.
///
/// While the server drains, the connection ends behind the last request that was received. The
/// response to it announces the end. A request that crosses this announcement is refused, and the
/// connection closes when the caller closes it or a time has passed. A request that follows one
/// whose caller asked to close the connection is never started.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(http_server& server, tcp::socket socket);

    void start();
    /// Whether no request has been received, not even partly, that has no response yet, and no
    /// response has announced the end.
    [[nodiscard]] bool idle();
    /// Sends what is queued, then closes the connection.
    void finish(connection_end reason);
    /// Closes the connection and cancels its requests.
    void close();
    /// Closes the connection immediately, without its unsent responses, to make room.
    void evict();

private:
    /// A request that was passed to the handler and whose response has not been sent.
    struct exchange {
        bool keep_alive = true;
        bool head_only = false;
        bool may_overlap = false;
        http_server::cancel cancel;
        std::optional<http_response> response;
    };

    /// Handles data from the caller.
    void receive(std::string& in);
    /// Reads and starts requests as far as the limits allow.
    void read_requests(std::string& in);
    /// Reads the next request.
    /// @return whether it is complete.
    bool read_request(std::string& in);
    [[nodiscard]] bool may_read() const;
    [[nodiscard]] bool may_start(const parsed_request& it) const;
    void start_request(parsed_request request);
    void set_response(exchange& to, http_response response);
    void write_response(http_response response, bool keep_alive, bool head_only);
    /// Whether data of a further request has been received, or waits to be received.
    [[nodiscard]] bool has_further_request();
    /// Whether the kernel holds data that has not been read.
    [[nodiscard]] bool has_unread_data();
    /// Handles that the response which announces the end of the connection was queued.
    void announce_end();
    void on_sent_after_announcement();
    [[nodiscard]] http_response refusal_of(const parsed_request& it) const;
    /// Refuses requests that arrive after the end of the connection was announced.
    void refuse_requests(std::string& in);
    /// Sends the responses that are next in order.
    void send_responses();
    /// Resumes reading after a response, without recursion.
    void continue_reading();
    /// Handles that a part of the responses was passed to the kernel.
    void on_sent();
    /// Charges a request that is not complete yet.
    /// @return false if it was refused or the connection was closed.
    bool charge_input(const std::string& in);
    /// Charges a complete request, which holds the charge until it ends.
    /// @return false if it was refused or the connection was closed.
    bool charge_request(parsed_request& it);
    void refuse_for_memory(const char* reason);
    /// Charges the received data and the responses that wait for those before them, and records
    /// whether the connection waits for its caller.
    void update_charge();
    /// Answers a request that is not read to its end, after the responses to the requests before
    /// it, and closes the connection.
    void reject(http_response response);
    /// Applies the server's head check, once for each request.
    /// @return whether the request is rejected.
    bool reject_by_head();
    void send_rejection();
    void on_disconnect(connection_end reason);
    void cancel_exchanges();
    /// Reports the requests that were received and will not be started.
    /// @return reader for the data that follows.
    std::shared_ptr<discarded_input> report_unstarted(connection_end reason);
    void remove_session(connection_end reason);
    void arm_timer(steady_time at);
    /// Closes a connection whose caller sends nothing for too long.
    void check_timeout();
    /// Time at which the connection is closed unless the caller sends something.
    [[nodiscard]] steady_time idle_deadline() const;

    http_server& server_;
    std::shared_ptr<stream> stream_;
    caller_limits limits_;
    request_reader reader_;
    std::shared_ptr<connection_charge> charge_;
    asio::steady_timer timer_;
    steady_time started_;
    /// Start of the wait for the next bytes of a caller.
    steady_time wait_started_;
    /// Requests in progress, in the order in which they were received.
    std::deque<std::shared_ptr<exchange>> exchanges_;
    /// Request that was read but must wait until the requests before it are answered.
    std::optional<parsed_request> next_;
    /// Response to a request that cannot be read, or is rejected before its body is received.
    std::optional<http_response> rejection_;
    /// Time at which the connection ends, after a response has announced it to a caller that would
    /// keep the connection open.
    std::optional<steady_time> announced_end_;
    /// All of the response that announces the end was passed to the kernel.
    bool announcement_sent_ = false;
    std::uint64_t requests_ = 0;
    /// The response to the last started request closes the connection.
    bool last_request_ = false;
    bool continue_sent_ = false;
    bool head_checked_ = false;
    bool closed_ = false;
};

} // namespace toucan::edge
