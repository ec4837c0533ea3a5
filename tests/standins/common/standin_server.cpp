#include "common/standin_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <iostream>
#include <pthread.h>
#include <thread>
#include <utility>

namespace toucan::standins {
namespace {

constexpr int idle_timeout_ms = 120'000;

thread_local int current_socket = -1;

/// Runs each task on a new thread. The connection limit of the server also bounds the threads.
class thread_per_connection : public httplib::TaskQueue {
public:
    void enqueue(std::function<void()> fn) override { std::thread(std::move(fn)).detach(); }
    void shutdown() override {}
};

class connection_stream : public httplib::Stream {
public:
    explicit connection_stream(int fd) : fd_(fd) {}

    [[nodiscard]] bool is_readable() const override
    {
        if (read_offset_ < buffered_bytes_) {
            return true;
        }
        pollfd it{fd_, POLLIN, 0};
        return poll(&it, 1, idle_timeout_ms) == 1;
    }
    [[nodiscard]] bool is_writable() const override { return true; }

    ssize_t read(char* ptr, std::size_t size) override
    {
        if (read_offset_ == buffered_bytes_) {
            if (!is_readable()) {
                return -1;
            }
            const auto n = recv(fd_, buf_.data(), buf_.size(), 0);
            if (n <= 0) {
                return n;
            }
            read_offset_ = 0;
            buffered_bytes_ = static_cast<std::size_t>(n);
        }
        const auto n = std::min(size, buffered_bytes_ - read_offset_);
        std::copy_n(buf_.data() + read_offset_, n, ptr);
        read_offset_ += n;
        return static_cast<ssize_t>(n);
    }

    ssize_t write(const char* ptr, std::size_t size) override
    {
        std::size_t sent = 0;
        while (sent < size) {
            const auto n = send(fd_, ptr + sent, size - sent, MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR) {
                continue;
            }
            if (n <= 0) {
                return -1;
            }
            sent += static_cast<std::size_t>(n);
        }
        return static_cast<ssize_t>(size);
    }

    void get_remote_ip_and_port(std::string& /*ip*/, int& /*port*/) const override {}
    void get_local_ip_and_port(std::string& /*ip*/, int& /*port*/) const override {}
    [[nodiscard]] socket_t socket() const override { return fd_; }

private:
    int fd_;
    std::array<char, 16384> buf_{};
    std::size_t read_offset_ = 0;
    std::size_t buffered_bytes_ = 0;
};

} // namespace

standin_server::standin_server(std::size_t max_connections) : max_connections_(max_connections)
{
    set_tcp_nodelay(true);
    // Both settings affect only the `Keep-Alive` header; the timeout in use is idle_timeout_ms.
    set_keep_alive_timeout(idle_timeout_ms / 1000);
    set_keep_alive_max_count(1'000'000);
    set_payload_max_length(64U << 20U);
    new_task_queue = [] {
        return new thread_per_connection;
    };
}

int standin_server::run(const vm_address& address)
{
    // Blocks SIGTERM before any thread starts, so only the thread below receives it.
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    std::thread([stop_signals] {
        int it = 0;
        sigwait(&stop_signals, &it);
        _exit(0);
    }).detach();

    if (!listen(address.ip_text(), address.port())) {
        std::cerr << "cannot listen on " << address.to_string() << '\n';
        return 1;
    }
    return 0;
}

bool standin_server::process_and_close_socket(socket_t sock)
{
    if (++open_connections_ > max_connections_) {
        ++refused_connections_;
        --open_connections_;
        close(sock);
        return false;
    }
    current_socket = sock;
    connection_stream stream(sock);
    bool ok = true;
    bool closed = false;
    while (ok && !closed && stream.is_readable()) {
        ok = process_request(stream, false, closed, [](httplib::Request& /*req*/) {});
    }
    current_socket = -1;
    shutdown(sock, SHUT_RDWR);
    close(sock);
    --open_connections_;
    return ok;
}

void standin_server::add_control_endpoint(const std::string& path,
                                          std::function<void(const nlohmann::json&)> apply_body)
{
    Post(path,
         [apply_body = std::move(apply_body)](const httplib::Request& req, httplib::Response& res) {
             try {
                 apply_body(nlohmann::json::parse(req.body));
                 set_json(res, nlohmann::json::object());
             }
             catch (const std::exception& ex) {
                 res.status = 400;
                 res.set_content(ex.what(), "text/plain");
             }
         });
}

void standin_server::add_report_endpoint(const std::string& path,
                                         std::function<nlohmann::json()> make_report)
{
    Get(path, [make_report = std::move(make_report)](const httplib::Request& /*req*/,
                                                     httplib::Response& res) {
        set_json(res, make_report());
    });
}

int standin_server::connection()
{
    return current_socket;
}

void standin_server::close_connection()
{
    shutdown(current_socket, SHUT_RDWR);
}

void standin_server::reset_connection()
{
    // With a linger time of 0, the following close sends a reset.
    const linger it{1, 0};
    setsockopt(current_socket, SOL_SOCKET, SO_LINGER, &it, sizeof it);
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    // Disconnecting the socket (AF_UNSPEC) sends the reset at once, before any response is written.
    static_cast<void>(connect(current_socket, &unspecified, sizeof unspecified));
}

void standin_server::send_raw(const std::string& bytes)
{
    connection_stream(current_socket).write(bytes.data(), bytes.size());
}

bool standin_server::peer_closed()
{
    char it = 0;
    const auto n = recv(current_socket, &it, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void set_json(httplib::Response& res, const nlohmann::json& body)
{
    res.status = 200;
    res.set_content(body.dump(), "application/json");
}

} // namespace toucan::standins
