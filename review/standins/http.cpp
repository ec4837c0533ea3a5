#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <stdexcept>

namespace toucan::review {

namespace {

constexpr std::size_t read_size = 65536;
constexpr int listen_backlog = 512;
constexpr int accept_poll_ms = 50;

sockaddr_in socket_address(const address& it)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(it.port);
    if (inet_pton(AF_INET, it.ip.c_str(), &to.sin_addr) != 1) {
        throw std::runtime_error("not an IPv4 address: " + it.ip);
    }
    return to;
}

bool same_name(std::string_view lhs, std::string_view rhs)
{
    const auto lower = [](char it) {
        return it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
    };
    return std::equal(lhs.begin(), lhs.end(), rhs.begin(), rhs.end(),
                      [&](char a, char b) { return lower(a) == lower(b); });
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text, int base = 10)
{
    Number value{};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return ec == std::errc() && end != text.data() ? std::optional(value) : std::nullopt;
}

std::string_view trimmed(std::string_view it)
{
    while (!it.empty() && it.front() == ' ') {
        it.remove_prefix(1);
    }
    while (!it.empty() && (it.back() == ' ' || it.back() == '\r')) {
        it.remove_suffix(1);
    }
    return it;
}

/// Reads the start line and the headers, without the empty line that ends them.
message parse_head(std::string_view head)
{
    message it;
    bool first = true;
    while (!head.empty()) {
        const auto end = head.find("\r\n");
        const auto line = head.substr(0, end);
        head = end == std::string_view::npos ? std::string_view() : head.substr(end + 2);
        if (std::exchange(first, false)) {
            it.start = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string_view::npos) {
            it.headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
        }
    }
    return it;
}

std::string word(const std::string& line, std::size_t index)
{
    std::size_t from = 0;
    for (std::size_t n = 0; n < index && from != std::string::npos; ++n) {
        from = line.find(' ', from);
        from = from == std::string::npos ? from : from + 1;
    }
    return from == std::string::npos ? std::string()
                                     : line.substr(from, line.find(' ', from) - from);
}

} // namespace

std::string message::header(std::string_view name) const
{
    const auto it = std::find_if(headers.begin(), headers.end(),
                                 [&](const auto& each) { return same_name(each.first, name); });
    return it == headers.end() ? std::string() : it->second;
}

int message::status() const
{
    return parse_number<int>(word(start, 1)).value_or(0);
}

std::string message::method() const
{
    return word(start, 0);
}

std::string message::target() const
{
    return word(start, 1);
}

std::string query_field(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    auto left =
        question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    while (!left.empty()) {
        const auto end = left.find('&');
        const auto pair = left.substr(0, end);
        left = end == std::string_view::npos ? std::string_view() : left.substr(end + 1);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || pair.substr(0, equals) != name) {
            continue;
        }
        std::string value;
        const auto text = pair.substr(equals + 1);
        for (std::size_t n = 0; n < text.size(); ++n) {
            if (text[n] == '%' && n + 2 < text.size()) {
                value.push_back(static_cast<char>(
                    parse_number<unsigned>(text.substr(n + 1, 2), 16).value_or(0)));
                n += 2;
            }
            else {
                value.push_back(text[n]);
            }
        }
        return value;
    }
    return {};
}

std::string format_message(const message& it)
{
    std::string out = it.start + "\r\n";
    for (const auto& [name, value] : it.headers) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    out += "Content-Length: " + std::to_string(it.body.size()) + "\r\n\r\n";
    return out + it.body;
}

connection::~connection()
{
    ::close(fd_);
}

std::unique_ptr<connection> connection::open(const address& to, milliseconds limit)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return nullptr;
    }
    auto it = std::make_unique<connection>(fd);
    const auto peer = socket_address(to);
    const int started = ::connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
    if (started != 0 && errno != EINPROGRESS) {
        return nullptr;
    }
    pollfd waiting{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&waiting, 1, static_cast<int>(limit.count())) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return it;
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(n));
            continue;
        }
        if (errno != EAGAIN && errno != EINTR) {
            return false;
        }
        pollfd waiting{fd_, POLLOUT, 0};
        ::poll(&waiting, 1, accept_poll_ms);
    }
    return true;
}

bool connection::wait_readable(milliseconds limit) const
{
    pollfd waiting{fd_, POLLIN, 0};
    return ::poll(&waiting, 1, static_cast<int>(limit.count())) == 1;
}

bool connection::peer_closed() const
{
    char next = 0;
    return in_.empty() && ::recv(fd_, &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void connection::shut_down() const
{
    ::shutdown(fd_, SHUT_RDWR);
}

std::optional<read_end> connection::receive(steady_time until)
{
    std::array<char, read_size> buf{};
    while (true) {
        const auto n = ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n > 0) {
            in_.append(buf.data(), static_cast<std::size_t>(n));
            return std::nullopt;
        }
        if (n == 0) {
            return read_end::closed;
        }
        if (errno != EAGAIN && errno != EINTR) {
            return read_end::reset;
        }
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - steady_clock::now()).count();
        if (left <= 0) {
            return read_end::timed_out;
        }
        pollfd waiting{fd_, POLLIN, 0};
        ::poll(&waiting, 1, static_cast<int>(left));
    }
}

read_end connection::read(message& into, milliseconds limit)
{
    const auto until = steady_clock::now() + limit;
    body_bytes_ = 0;
    std::size_t head_end = std::string::npos;
    while ((head_end = in_.find("\r\n\r\n")) == std::string::npos) {
        if (const auto end = receive(until)) {
            return *end;
        }
    }
    into = parse_head(std::string_view(in_).substr(0, head_end));
    in_.erase(0, head_end + 4);
    const auto length = parse_number<std::size_t>(into.header("Content-Length")).value_or(0);
    while (in_.size() < length) {
        body_bytes_ = in_.size();
        if (const auto end = receive(until)) {
            return *end;
        }
    }
    into.body = in_.substr(0, length);
    in_.erase(0, length);
    body_bytes_ = length;
    return read_end::complete;
}

server::server(const address& at, handler handle)
    : handle_(std::move(handle)), fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto local = socket_address(at);
    if (::bind(fd_, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 ||
        ::listen(fd_, listen_backlog) != 0) {
        throw std::runtime_error("cannot listen on " + at.text());
    }
    thread_ = std::thread([this] { accept_all(); });
}

server::~server()
{
    stopping_ = true;
    thread_.join();
    ::close(fd_);
    for (const auto& it : sessions_) {
        it->peer->shut_down();
    }
    for (const auto& it : sessions_) {
        it->thread.join();
    }
}

void server::accept_all()
{
    while (!stopping_) {
        pollfd waiting{fd_, POLLIN, 0};
        if (::poll(&waiting, 1, accept_poll_ms) != 1) {
            remove_ended();
            continue;
        }
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto it = std::make_unique<session>();
        it->peer = std::make_unique<connection>(fd);
        it->thread = std::thread([this, raw = it.get()] {
            handle_(*raw->peer);
            raw->peer->shut_down();
            raw->ended = true;
        });
        sessions_.push_back(std::move(it));
    }
}

void server::remove_ended()
{
    for (auto it = sessions_.begin(); it != sessions_.end();) {
        if (!(*it)->ended) {
            ++it;
            continue;
        }
        (*it)->thread.join();
        it = sessions_.erase(it);
    }
}

bool is_free(const address& at)
{
    const auto local = socket_address(at);
    bool all = true;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        all = all && ::bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0;
        ::close(fd);
    }
    return all;
}

} // namespace toucan::review
