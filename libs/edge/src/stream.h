#pragma once

#include "asio.h"

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace toucan::edge {

/// TCP connection with a permanently pending read, which detects a close by the peer at once.
/// The hooks are released when the connection closes. Not thread-safe; runs on the event loop.
class stream : public std::enable_shared_from_this<stream> {
public:
    /// Reason for the end of the connection.
    enum class ending { end_of_data, reset };

    struct events {
        /// Called after received data was appended; erases the bytes that it consumes.
        std::function<void(std::string& in)> data;
        /// Called once when the peer closes the connection or the connection is lost.
        std::function<void(ending)> closed;
    };

    explicit stream(tcp::socket socket) : socket_(std::move(socket)) {}

    /// Sets the socket options and starts reading.
    void start(events hooks);
    /// Queues data for sending.
    /// @param sent called when all of the data has been passed to the kernel; may be empty.
    void write(std::string data, std::function<void()> sent = {});
    /// Sends the queued data, shuts down the sending direction and discards received data for up to
    /// 1 s. Closing with unread data would reset the connection and lose the last response.
    void finish();
    /// Closes the connection immediately. No hook is called.
    void close();
    /// Pauses or resumes reading, for flow control.
    void pause_reading(bool paused);

    [[nodiscard]] bool open() const { return socket_.is_open() && !finishing_; }
    [[nodiscard]] tcp::socket& socket() { return socket_; }
    /// Received data that the hook has not consumed.
    [[nodiscard]] std::string& buffered() { return in_; }

private:
    void read();
    void deliver_data();
    void write_next();
    void handle_close(ending how);
    void shutdown_sending();

    struct queued_write {
        std::string data;
        std::function<void()> sent;
    };

    tcp::socket socket_;
    events hooks_;
    static constexpr std::size_t read_size = 4096;

    std::array<char, read_size> buf_{};
    std::string in_;
    std::deque<queued_write> out_;
    std::unique_ptr<asio::steady_timer> linger_timer_;
    bool writing_ = false;
    bool reading_ = false;
    bool paused_ = false;
    bool finishing_ = false;
};

/// Disables Nagle's algorithm on a connected socket and sets the timeouts after which an
/// unresponsive peer counts as lost.
void set_socket_options(tcp::socket& socket);

} // namespace toucan::edge
