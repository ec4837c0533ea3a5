#pragma once

#include "toucan/base/vm_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace toucan::rpc {

inline sockaddr_in socket_address(vm_address address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port());
    out.sin_addr.s_addr = htonl(address.ip());
    return out;
}

/// TCP listener that does not speak the RPC protocol. It either never replies, or closes each
/// connection after the first byte.
class raw_peer {
public:
    enum class behaviour { silent, close_after_first_byte };

    explicit raw_peer(behaviour mode) : fd_(::socket(AF_INET, SOCK_STREAM, 0)), mode_(mode)
    {
        auto address = socket_address({INADDR_LOOPBACK, 0});
        socklen_t len = sizeof(address);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        if (::bind(fd_, generic, len) != 0 || ::listen(fd_, 8) != 0 ||
            ::getsockname(fd_, generic, &len) != 0) {
            throw std::runtime_error("cannot open a listening socket");
        }
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { run(); });
    }
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;
    ~raw_peer()
    {
        ::shutdown(fd_, SHUT_RDWR);
        thread_.join();
        ::close(fd_);
        for (const int it : open_sockets_) {
            ::close(it);
        }
    }

    [[nodiscard]] vm_address address() const { return {INADDR_LOOPBACK, port_}; }
    [[nodiscard]] int accepted() const { return accepted_; }

private:
    void run()
    {
        while (true) {
            const int peer = ::accept(fd_, nullptr, nullptr);
            if (peer < 0) {
                return;
            }
            ++accepted_;
            if (mode_ == behaviour::silent) {
                open_sockets_.push_back(peer);
                continue;
            }
            char first = 0;
            static_cast<void>(::recv(peer, &first, 1, 0));
            ::close(peer);
        }
    }

    int fd_;
    behaviour mode_;
    std::uint16_t port_ = 0;
    std::atomic<int> accepted_ = 0;
    std::vector<int> open_sockets_;
    std::thread thread_;
};

/// Connects, sends bytes and closes the connection.
inline void send_raw(vm_address to, const std::string& bytes)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = socket_address(to);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
        static_cast<void>(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }
    ::close(fd);
}

/// Connects, sends bytes and returns whether the other side closes the connection within 10 s.
inline bool closes_after(vm_address to, const std::string& bytes)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = socket_address(to);
    const timeval limit{10, 0};
    bool closed = false;
    if (::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit)) == 0 &&
        ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
        ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0) {
        char buf[256];
        ssize_t n = 0;
        do {
            n = ::recv(fd, buf, sizeof(buf), 0);
        } while (n > 0);
        closed = n == 0 || errno == ECONNRESET;
    }
    ::close(fd);
    return closed;
}

} // namespace toucan::rpc
