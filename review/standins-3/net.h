#pragma once

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

// Blocking loopback sockets and plain HTTP/1.1 messages for the stand-ins of the review. They share
// no code with the project, so a fault of its parsers is not hidden.
namespace review {

using milliseconds = std::chrono::milliseconds;
using steady_time = std::chrono::steady_clock::time_point;

/// Time since the start of the process.
milliseconds elapsed();

/// A request or a response.
struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// @return empty if there is none.
    [[nodiscard]] std::string header(std::string_view name) const;
    /// Status of a response; 0 if it cannot be read.
    [[nodiscard]] int status() const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
};

/// One connection.
class link {
public:
    explicit link(int fd = -1) : fd_(fd) {}
    link(const link&) = delete;
    link& operator=(const link&) = delete;
    link(link&& other) noexcept : fd_(std::exchange(other.fd_, -1)), in_(std::move(other.in_)) {}
    link& operator=(link&& other) noexcept;
    ~link() { close(); }

    /// Connects to a port of 127.0.0.1.
    [[nodiscard]] static link to(std::uint16_t port);
    [[nodiscard]] bool open() const { return fd_ >= 0; }
    /// @return false if not all bytes could be sent.
    bool send(std::string_view bytes);
    /// Reads one message with a length, in chunks, or up to the end of the connection.
    /// @param response whether a message without a length has a body.
    /// @return nothing if the message is not complete in time.
    std::optional<message> read(milliseconds limit, bool response);
    /// Waits for bytes and returns those that are there, without taking them.
    [[nodiscard]] std::string peek(milliseconds limit) const;
    /// Whether the peer has closed the connection.
    [[nodiscard]] bool peer_closed() const;
    void close();
    /// Ends pending calls of other threads.
    void shut_down() const;

private:
    /// @return false at the end of the connection or of the time.
    bool receive(steady_time until);
    std::optional<std::string> line(steady_time until);
    bool read_bytes(std::string& to, std::size_t count, steady_time until);
    bool read_chunks(std::string& to, steady_time until);

    int fd_ = -1;
    std::string in_;
};

/// Accepts connections on a free port of 127.0.0.1; one thread per connection.
class listener {
public:
    using handler = std::function<void(link&)>;

    /// @param port 0 for a free one.
    explicit listener(handler serve, std::uint16_t port = 0);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    listener(listener&&) = delete;
    listener& operator=(listener&&) = delete;
    ~listener() { stop(); }

    [[nodiscard]] std::uint16_t port() const { return port_; }
    /// Closes the port and all connections, as a crash would.
    void stop();

private:
    void accept();

    handler serve_;
    int fd_ = -1;
    std::uint16_t port_ = 0;
    std::thread accepting_;
    std::mutex mutex_;
    bool stopped_ = false;
    std::list<std::pair<std::shared_ptr<link>, std::thread>> links_;
};

/// A port that is free for TCP and UDP at present.
std::uint16_t free_port();

/// Lines with their time; thread-safe.
class record {
public:
    void add(const std::string& line);
    void write(const std::string& path);

private:
    std::mutex mutex_;
    std::vector<std::string> lines_;
};

} // namespace review
