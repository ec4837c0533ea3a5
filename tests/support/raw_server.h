#pragma once

#include "toucan/base/vm_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace toucan::test {

/// One accepted connection of a `raw_server`.
class raw_peer {
public:
    explicit raw_peer(int sock) : sock_(sock) {}

    /// Reads one request with its body. Returns an empty text when the connection is closed.
    std::string read_request()
    {
        constexpr std::string_view length_header = "Content-Length: ";
        while (true) {
            if (const auto head = buffer_.find("\r\n\r\n"); head != std::string::npos) {
                std::size_t size = head + 4;
                if (const auto at = buffer_.find(length_header); at < head) {
                    size += std::strtoul(buffer_.c_str() + at + length_header.size(), nullptr, 10);
                }
                if (buffer_.size() >= size) {
                    auto request = buffer_.substr(0, size);
                    buffer_.erase(0, size);
                    return request;
                }
            }
            std::array<char, 65536> part{};
            const auto n = ::recv(sock_, part.data(), part.size(), 0);
            if (n <= 0) {
                return {};
            }
            buffer_.append(part.data(), static_cast<std::size_t>(n));
        }
    }

    void write(std::string_view text) const
    {
        while (!text.empty()) {
            const auto n = ::send(sock_, text.data(), text.size(), MSG_NOSIGNAL);
            if (n <= 0) {
                return;
            }
            text.remove_prefix(static_cast<std::size_t>(n));
        }
    }

    /// Reads until the client closes the connection.
    void wait_for_close()
    {
        while (!read_request().empty()) {
        }
    }

private:
    int sock_;
    std::string buffer_;
};

/// TCP server that runs a function of the test on its own thread for each accepted connection.
class raw_server {
public:
    explicit raw_server(std::function<void(raw_peer&)> serve)
        : serve_(std::move(serve)), listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in it{};
        it.sin_family = AF_INET;
        it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(it);
        auto* const address = reinterpret_cast<sockaddr*>(&it);
        if (::bind(listener_, address, size) != 0 || ::listen(listener_, SOMAXCONN) != 0 ||
            ::getsockname(listener_, address, &size) != 0) {
            throw std::runtime_error("cannot open a listening socket");
        }
        address_ = vm_address(INADDR_LOOPBACK, ntohs(it.sin_port));
        acceptor_ = std::thread([this] { accept_all(); });
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    ~raw_server() { stop(); }

    /// Stops listening, shuts down the open connections and joins their threads.
    void stop()
    {
        if (!acceptor_.joinable()) {
            return;
        }
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(listener_);
        {
            const absl::MutexLock lock(&mutex_);
            for (const int it : sockets_) {
                ::shutdown(it, SHUT_RDWR);
            }
        }
        for (auto& it : threads_) {
            it.join();
        }
    }

    [[nodiscard]] vm_address address() const { return address_; }
    [[nodiscard]] int accepted() const { return accepted_; }
    /// Number of connections whose function has returned.
    [[nodiscard]] int closed() const { return closed_; }

private:
    void accept_all()
    {
        while (true) {
            const int sock = ::accept(listener_, nullptr, nullptr);
            if (sock < 0) {
                return;
            }
            ++accepted_;
            {
                const absl::MutexLock lock(&mutex_);
                sockets_.push_back(sock);
            }
            threads_.emplace_back([this, sock] {
                raw_peer peer(sock);
                serve_(peer);
                {
                    const absl::MutexLock lock(&mutex_);
                    std::erase(sockets_, sock);
                }
                ::close(sock);
                ++closed_;
            });
        }
    }

    std::function<void(raw_peer&)> serve_;
    int listener_;
    vm_address address_;
    std::atomic<int> accepted_ = 0;
    std::atomic<int> closed_ = 0;
    absl::Mutex mutex_;
    std::vector<int> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace toucan::test
