#pragma once

#include "daemon_lookup.h"
#include "history.h"
#include "http_message.h"
#include "soak_configuration.h"
#include "stream.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace toucan::soak {

/// Connection of a caller to a daemon that a lookup has named. After each end it looks up again.
class caller_link {
public:
    struct events {
        /// A new connection is open.
        std::function<void()> connected;
        /// Called after received data was appended; erases the bytes that it consumes.
        std::function<void(std::string& in)> data;
        /// The daemon has closed the connection, or it was lost.
        std::function<void()> ended;
    };

    /// @param daemons all daemons, by index; must outlive this object, like `random`.
    /// @param delay_class index in `daemon_endpoints::delayed_callers`; nothing for a connection
    /// without a delay.
    caller_link(edge::asio::io_context& loop, const clock& time,
                const std::vector<daemon_endpoints>& daemons, std::mt19937_64& random,
                std::optional<std::size_t> delay_class, events hooks);

    /// Starts with a lookup.
    void start() { look_up(); }
    /// Makes no further connection and starts no further action.
    void stop() { stopped_ = true; }
    /// Closes the connection and, after a pause, looks up again.
    void reconnect();
    /// Sends data; does nothing if the connection has ended.
    /// @return whether the connection is open.
    bool send(std::string bytes);
    /// Runs an action after a time, in place of one that is still to come.
    void run_after(std::chrono::milliseconds time, std::function<void()> action);
    /// Runs an action after a random short pause.
    void run_after_pause(std::function<void()> action);
    /// A request to the daemon of this connection.
    [[nodiscard]] sent_request new_request(std::string id, const request_target& to) const;

private:
    void look_up();
    void connect(std::size_t daemon);

    edge::asio::io_context& loop_;
    const std::vector<daemon_endpoints>& daemons_;
    std::mt19937_64& random_;
    std::optional<std::size_t> delay_class_;
    events hooks_;
    edge::asio::steady_timer timer_;
    daemon_lookup lookup_;
    std::shared_ptr<edge::tcp::socket> connecting_;
    std::shared_ptr<edge::stream> stream_;
    std::size_t daemon_ = 0;
    bool stopped_ = false;
};

/// A request that was not sent yet.
[[nodiscard]] sent_request make_request(std::string id, const request_target& to);
/// Header fields of a request.
/// @param deadline time limit that the daemon is told.
[[nodiscard]] std::vector<http_header> headers_of(const sent_request& it,
                                                  std::chrono::milliseconds deadline);
/// Records the response to a request, or the end of its connection without one.
/// @param response nullptr if there was none.
/// @param body body of the request.
void record_end(sent_request& it, const parsed_response* response, const std::string& body,
                steady_time now);
/// Message of a request.
/// @param deadline time limit that the daemon is told.
std::string message_of(const sent_request& it, const std::string& method, const std::string& body,
                       std::chrono::milliseconds deadline);

} // namespace toucan::soak
