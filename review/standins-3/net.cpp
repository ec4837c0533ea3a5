#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace review {

namespace {

constexpr std::size_t block_bytes = 65536;
constexpr int backlog = 512;
constexpr int hexadecimal = 16;

const steady_time process_start = std::chrono::steady_clock::now();

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

bool bind_to(int fd, std::uint16_t port)
{
    const auto address = loopback(port);
    return ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

std::uint16_t port_of(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return 0;
    }
    return ntohs(address.sin_port);
}

void send_at_once(int fd)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

std::string word(const std::string& text, std::size_t number)
{
    std::size_t begin = 0;
    for (std::size_t n = 0; n < number; ++n) {
        const auto space = text.find(' ', begin);
        if (space == std::string::npos) {
            return {};
        }
        begin = space + 1;
    }
    return text.substr(begin, text.find(' ', begin) - begin);
}

} // namespace

milliseconds elapsed()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() -
                                                    process_start);
}

std::string message::header(std::string_view name) const
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto& it) {
        return it.first.size() == name.size() &&
               ::strncasecmp(it.first.data(), name.data(), name.size()) == 0;
    });
    return found == headers.end() ? std::string() : found->second;
}

int message::status() const
{
    return std::atoi(word(first_line, 1).c_str());
}

std::string message::method() const
{
    return word(first_line, 0);
}

std::string message::target() const
{
    return word(first_line, 1);
}

link& link::operator=(link&& other) noexcept
{
    close();
    fd_ = std::exchange(other.fd_, -1);
    in_ = std::move(other.in_);
    return *this;
}

link link::to(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopback(port);
    if (fd < 0 || ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        if (fd >= 0) {
            ::close(fd);
        }
        return link();
    }
    send_at_once(fd);
    return link(fd);
}

bool link::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool link::receive(steady_time until)
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - std::chrono::steady_clock::now());
    pollfd waiting{fd_, POLLIN, 0};
    if (fd_ < 0 || left.count() <= 0 || ::poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
        return false;
    }
    std::array<char, block_bytes> block{};
    const auto count = ::recv(fd_, block.data(), block.size(), 0);
    if (count <= 0) {
        return false;
    }
    in_.append(block.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> link::line(steady_time until)
{
    for (auto end = in_.find("\r\n"); true; end = in_.find("\r\n")) {
        if (end != std::string::npos) {
            auto text = in_.substr(0, end);
            in_.erase(0, end + 2);
            return text;
        }
        if (!receive(until)) {
            return std::nullopt;
        }
    }
}

bool link::read_bytes(std::string& to, std::size_t count, steady_time until)
{
    while (in_.size() < count) {
        if (!receive(until)) {
            return false;
        }
    }
    to.append(in_, 0, count);
    in_.erase(0, count);
    return true;
}

bool link::read_chunks(std::string& to, steady_time until)
{
    while (true) {
        const auto size = line(until);
        if (!size) {
            return false;
        }
        const auto count = std::strtoul(size->c_str(), nullptr, hexadecimal);
        if (count == 0) {
            for (auto trailer = line(until); trailer; trailer = line(until)) {
                if (trailer->empty()) {
                    return true;
                }
            }
            return false;
        }
        if (!read_bytes(to, count, until) || !line(until)) {
            return false;
        }
    }
}

std::optional<message> link::read(milliseconds limit, bool response)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    message it;
    auto text = line(until);
    if (!text) {
        return std::nullopt;
    }
    it.first_line = *text;
    for (text = line(until); text && !text->empty(); text = line(until)) {
        const auto colon = text->find(':');
        it.headers.emplace_back(text->substr(0, colon), trimmed(text->substr(colon + 1)));
    }
    if (!text) {
        return std::nullopt;
    }
    if (const auto length = it.header("Content-Length"); !length.empty()) {
        const auto count = std::strtoul(length.c_str(), nullptr, 10);
        return read_bytes(it.body, count, until) ? std::optional(it) : std::nullopt;
    }
    if (it.header("Transfer-Encoding") == "chunked") {
        return read_chunks(it.body, until) ? std::optional(it) : std::nullopt;
    }
    if (response && it.status() != 204 && it.status() != 304) {
        while (receive(until)) {
        }
        it.body = std::exchange(in_, {});
    }
    return it;
}

std::string link::peek(milliseconds limit) const
{
    pollfd waiting{fd_, POLLIN, 0};
    std::array<char, block_bytes> block{};
    if (fd_ < 0 || ::poll(&waiting, 1, static_cast<int>(limit.count())) <= 0) {
        return {};
    }
    const auto count = ::recv(fd_, block.data(), block.size(), MSG_PEEK);
    return count <= 0 ? std::string() : std::string(block.data(), static_cast<std::size_t>(count));
}

bool link::peer_closed() const
{
    char next = 0;
    return fd_ < 0 || ::recv(fd_, &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void link::close()
{
    if (fd_ >= 0) {
        ::close(std::exchange(fd_, -1));
    }
}

void link::shut_down() const
{
    if (fd_ >= 0) {
        ::shutdown(fd_, SHUT_RDWR);
    }
}

listener::listener(handler serve, std::uint16_t port)
    : serve_(std::move(serve)), fd_(::socket(AF_INET, SOCK_STREAM, 0))
{
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (fd_ < 0 || !bind_to(fd_, port) || ::listen(fd_, backlog) != 0) {
        throw std::runtime_error("a stand-in cannot listen");
    }
    port_ = port_of(fd_);
    accepting_ = std::thread([this] { accept(); });
}

void listener::accept()
{
    while (true) {
        const int fd = ::accept(fd_, nullptr, nullptr);
        if (fd < 0) {
            return;
        }
        send_at_once(fd);
        const std::lock_guard lock(mutex_);
        if (stopped_) {
            ::close(fd);
            return;
        }
        auto connection = std::make_shared<link>(fd);
        std::thread serving([this, connection] {
            serve_(*connection);
            // The descriptor stays open until `stop`, so that no other connection gets its number.
            connection->shut_down();
        });
        links_.emplace_back(std::move(connection), std::move(serving));
    }
}

void listener::stop()
{
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(stopped_, true)) {
            return;
        }
        ::shutdown(fd_, SHUT_RDWR);
        for (const auto& it : links_) {
            it.first->shut_down();
        }
    }
    accepting_.join();
    ::close(fd_);
    for (auto& it : links_) {
        it.second.join();
    }
    links_.clear();
}

std::uint16_t free_port()
{
    const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
    const int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
    std::uint16_t port = 0;
    if (bind_to(udp, 0) && bind_to(tcp, port_of(udp))) {
        port = port_of(udp);
    }
    ::close(udp);
    ::close(tcp);
    return port == 0 ? free_port() : port;
}

void record::add(const std::string& line)
{
    auto time = std::to_string(elapsed().count());
    constexpr std::size_t width = 7;
    time.insert(0, time.size() < width ? width - time.size() : 0, ' ');
    const std::lock_guard lock(mutex_);
    lines_.push_back(time + " ms  " + line);
}

void record::write(const std::string& path)
{
    const std::lock_guard lock(mutex_);
    std::ofstream out(path);
    for (const auto& it : lines_) {
        out << it << '\n';
    }
}

} // namespace review
