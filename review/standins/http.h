#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace toucan::review {

using std::chrono::milliseconds;
using steady_clock = std::chrono::steady_clock;
using steady_time = steady_clock::time_point;

/// Loopback address and port.
struct address {
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

/// HTTP/1.1 request or response with its whole body.
struct message {
    /// Request line or status line, without the line end.
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// First header with a name, compared case-insensitively; empty if there is none.
    [[nodiscard]] std::string header(std::string_view name) const;
    /// Status code of a response; 0 if the status line cannot be read.
    [[nodiscard]] int status() const;
    /// Method and target of a request.
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
};

/// Value of a query field of a request target, percent-decoded; empty if it is missing.
std::string query_field(std::string_view target, std::string_view name);
/// Formats a message; adds Content-Length.
std::string format_message(const message& it);

/// How reading a message has ended.
enum class read_end { complete, closed, reset, timed_out };

/// Blocking TCP connection. Closes its socket on destruction.
class connection {
public:
    explicit connection(int fd) : fd_(fd) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    /// @return nullptr if the connection is not established within the limit.
    static std::unique_ptr<connection> open(const address& to, milliseconds limit);

    /// Sends all bytes; blocks while the peer does not read.
    bool send(std::string_view bytes);
    /// Reads one message.
    read_end read(message& into, milliseconds limit);
    /// Waits until bytes can be read, without reading them.
    [[nodiscard]] bool wait_readable(milliseconds limit) const;
    /// Whether the peer has closed the connection and no received byte is left.
    [[nodiscard]] bool peer_closed() const;
    /// Ends all blocking calls of the connection.
    void shut_down() const;
    /// Bytes of the body of the last message that were received, complete or not.
    [[nodiscard]] std::size_t body_bytes() const { return body_bytes_; }

private:
    /// Appends received bytes to the buffer.
    std::optional<read_end> receive(steady_time until);

    int fd_;
    std::string in_;
    std::size_t body_bytes_ = 0;
};

/// Accepts connections on a loopback address; each connection has a thread.
class server {
public:
    using handler = std::function<void(connection&)>;

    server(const address& at, handler handle);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

private:
    struct session {
        std::unique_ptr<connection> peer;
        std::thread thread;
        std::atomic<bool> ended = false;
    };

    void accept_all();
    void remove_ended();

    handler handle_;
    int fd_;
    std::atomic<bool> stopping_ = false;
    std::list<std::unique_ptr<session>> sessions_;
    std::thread thread_;
};

/// Whether an address can be bound at present.
bool is_free(const address& at);

} // namespace toucan::review
