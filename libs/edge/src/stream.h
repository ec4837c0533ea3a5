#pragma once

#include "asio.h"
#include "connection_registry.h"

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
        /// Called after queued data was passed to the kernel; may be empty.
        std::function<void()> sent = {};
    };

    explicit stream(tcp::socket socket) : socket_(std::move(socket)) {}

    /// Sets the charge for the memory of this connection, which is released when it closes.
    void set_charge(std::shared_ptr<connection_charge> it) { charge_ = std::move(it); }

    /// Sets the socket options and starts reading.
    void start(events hooks);
    /// Queues data for sending.
    /// @param sent called when all of the data has been passed to the kernel; may be empty.
    void write(std::string data, std::function<void()> sent = {});
    /// Queues data that other connections may send too, without a copy.
    void write(std::shared_ptr<const std::string> data, std::function<void()> sent = {});
    /// Sends the queued data, shuts down the sending direction and discards received data until the
    /// peer closes, for up to 1 s. Closing with unread data would reset the connection and lose the
    /// last response.
    /// @param closed called when the connection is closed; may be empty.
    /// @param discarded called with the data that is discarded; may be empty.
    void finish(std::function<void()> closed = {},
                std::function<void(std::string& in)> discarded = {});
    /// Sends what is queued although the peer sends nothing more. Otherwise the end of the peer's
    /// data ends the connection at once.
    void send_after_end_of_data() { sends_after_end_of_data_ = true; }
    /// Closes the connection immediately. No event hook is called.
    void close();
    /// Pauses or resumes reading, for flow control.
    void pause_reading(bool paused);

    [[nodiscard]] bool open() const { return socket_.is_open() && !finishing_; }
    /// Whether the peer has closed the connection and has sent nothing that was not received yet.
    /// The event loop may deliver the close only after the data before it.
    [[nodiscard]] bool peer_closed();
    [[nodiscard]] tcp::socket& socket() { return socket_; }
    /// Received data that the hook has not consumed.
    [[nodiscard]] std::string& buffered() { return in_; }
    /// Queued bytes that have not been passed to the kernel.
    [[nodiscard]] std::size_t unsent_bytes() const { return unsent_; }

private:
    void read();
    void deliver_data();
    void write_next();
    void handle_close(ending how);
    /// Shuts down the sending direction and starts to wait for the peer's close.
    void shutdown_sending();
    void close_after(std::chrono::milliseconds delay);

    struct queued_write {
        std::string own;
        /// Sent instead of `own`, if set.
        std::shared_ptr<const std::string> shared;
        std::function<void()> sent;

        [[nodiscard]] const std::string& data() const { return shared ? *shared : own; }
    };

    void queue(queued_write it);
    /// Watches whether the peer receives what was sent, until it has all of it. A caller that
    /// pauses reading closes its window, which TCP_USER_TIMEOUT does not tell from a lost peer.
    void watch_delivery();
    void check_delivery();
    void on_written(std::size_t n);

    tcp::socket socket_;
    events hooks_;
    static constexpr std::size_t read_size = 4096;

    std::array<char, read_size> buf_{};
    std::string in_;
    std::deque<queued_write> out_;
    /// Bytes of the first queued write that have been passed to the kernel.
    std::size_t written_ = 0;
    std::size_t unsent_ = 0;
    std::shared_ptr<connection_charge> charge_;
    std::unique_ptr<asio::steady_timer> close_timer_;
    std::unique_ptr<asio::steady_timer> delivery_timer_;
    bool watching_delivery_ = false;
    std::function<void()> finished_;
    std::function<void(std::string& in)> discarded_;
    bool writing_ = false;
    bool reading_ = false;
    bool paused_ = false;
    bool finishing_ = false;
    bool sends_after_end_of_data_ = false;
};

/// Disables Nagle's algorithm on a connected socket and sets the timeouts after which an
/// unresponsive peer counts as lost.
void set_socket_options(tcp::socket& socket);
/// Sets the time after which a peer that acknowledges nothing counts as lost.
void set_silence_timeout(tcp::socket& socket, std::chrono::milliseconds timeout);
/// Silence timeout of `set_socket_options`.
inline constexpr std::chrono::milliseconds default_silence_timeout{2000};

} // namespace toucan::edge
