#include "tcp_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <set>

namespace toucan::standins {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Limit per direction: the proxy stops reading from a sender while this much is queued.
constexpr std::size_t max_queued_bytes = 1U << 20U;
constexpr std::size_t read_buffer_bytes = 65536;
constexpr int max_poll_ms = 1000;

sockaddr_in socket_address(const vm_address& it)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(it.ip());
    out.sin_port = htons(it.port());
    return out;
}

void set_nodelay(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

tcp_proxy::tcp_proxy(std::uint32_t seed)
    : jitter_random_(seed), wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

bool tcp_proxy::add_route(const vm_address& listen, const vm_address& to)
{
    route it;
    it.listen = listen;
    it.to = to;
    if (!open_listener(it)) {
        return false;
    }
    routes_.push_back(it);
    return true;
}

bool tcp_proxy::open_listener(route& it)
{
    it.listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(it.listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = socket_address(it.listen);
    if (bind(it.listen_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        listen(it.listen_fd, SOMAXCONN) == 0) {
        return true;
    }
    close(it.listen_fd);
    it.listen_fd = -1;
    return false;
}

void tcp_proxy::set_faults(const nlohmann::json& body)
{
    const std::lock_guard lock(mutex_);
    std::set<std::string> wanted;
    if (body.contains("listen")) {
        wanted = body["listen"].get<std::set<std::string>>();
    }
    for (std::size_t n = 0; n < routes_.size(); ++n) {
        auto& it = routes_[n];
        if (!wanted.empty() && !wanted.contains(it.listen.to_string())) {
            continue;
        }
        it.faults.update(body);
        if (it.faults.cut && it.listen_fd >= 0) {
            close(it.listen_fd);
            it.listen_fd = -1;
            std::erase_if(connections_, [n](const auto& entry) {
                if (entry.second.route_index != n) {
                    return false;
                }
                close_sockets(entry.second);
                return true;
            });
        }
        if (!it.faults.cut && it.listen_fd < 0 && !open_listener(it)) {
            throw std::runtime_error("cannot listen on " + it.listen.to_string() + " again");
        }
    }
    eventfd_write(wake_fd_, 1);
}

nlohmann::json tcp_proxy::counters()
{
    const std::lock_guard lock(mutex_);
    nlohmann::json out = nlohmann::json::object();
    for (const auto& it : routes_) {
        out[it.listen.to_string()] = {{"to", it.to.to_string()},
                                      {"bytes_forward", it.bytes_forward},
                                      {"bytes_back", it.bytes_back},
                                      {"connections", it.connections}};
    }
    return out;
}

void tcp_proxy::run()
{
    std::vector<pollfd> fds;
    std::vector<std::uint64_t> ids;
    while (true) {
        const int timeout = fill_poll_set(fds, ids);
        poll(fds.data(), fds.size(), timeout);
        const std::lock_guard lock(mutex_);
        if (fds[0].revents != 0) {
            eventfd_t n = 0;
            eventfd_read(wake_fd_, &n);
        }
        for (std::size_t it = 0; it < routes_.size(); ++it) {
            accept_all(it);
        }
        // The entries of the event descriptor and the routes come first, then two per connection.
        const auto first = 1 + routes_.size();
        for (std::size_t it = 0; it < ids.size(); ++it) {
            const auto found = connections_.find(ids[it]);
            if (found == connections_.end()) {
                continue;
            }
            if (!handle_events(found->second, fds[first + 2 * it].revents,
                               fds[first + 2 * it + 1].revents)) {
                close_sockets(found->second);
                connections_.erase(found);
            }
        }
    }
}

int tcp_proxy::fill_poll_set(std::vector<pollfd>& fds, std::vector<std::uint64_t>& ids)
{
    const std::lock_guard lock(mutex_);
    fds.assign(1, pollfd{wake_fd_, POLLIN, 0});
    ids.clear();
    for (const auto& it : routes_) {
        fds.push_back({it.listen_fd, POLLIN, 0});
    }
    const auto now = steady_clock::now();
    auto next_wakeup = now + milliseconds(max_poll_ms);
    for (const auto& [id, it] : connections_) {
        ids.push_back(id);
        pollfd client{it.client, 0, 0};
        pollfd server{it.server, 0, 0};
        const bool blackholed = routes_[it.route_index].faults.blackhole;
        const auto add_events = [&](const direction& from, pollfd& source, pollfd& sink) {
            if (!from.read_ended && from.queued_bytes < max_queued_bytes) {
                source.events |= POLLIN;
            }
            if (!from.queue.empty() && !from.writable) {
                sink.events |= POLLOUT;
            }
            else if (!from.queue.empty()) {
                next_wakeup = std::min(next_wakeup, from.queue.front().due);
            }
        };
        if (blackholed) {
            // poll skips negative descriptors, so a hang-up does not wake the loop.
            client.fd = -1;
            server.fd = -1;
        }
        else if (!it.connected) {
            if (it.server < 0) {
                next_wakeup = now;
            }
            client.fd = -1;
            server.events = POLLOUT;
        }
        else {
            add_events(it.forward, client, server);
            add_events(it.back, server, client);
            // A socket whose peer has closed reports a hang-up on every poll, which would spin the
            // loop.
            client.fd = client.events == 0 ? -1 : client.fd;
            server.fd = server.events == 0 ? -1 : server.fd;
        }
        fds.push_back(client);
        fds.push_back(server);
    }
    const auto wait = std::max(next_wakeup - now, steady_clock::duration::zero());
    return static_cast<int>(std::chrono::ceil<milliseconds>(wait).count());
}

void tcp_proxy::accept_all(std::size_t route_index)
{
    auto& it = routes_[route_index];
    while (it.listen_fd >= 0) {
        const int fd = accept4(it.listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        set_nodelay(fd);
        ++it.connections;
        connection new_connection;
        new_connection.route_index = route_index;
        new_connection.client = fd;
        if (it.faults.jitter.count() > 0) {
            new_connection.jitter_delay = milliseconds(static_cast<std::int64_t>(jitter_random_()) %
                                                       it.faults.jitter.count());
        }
        connections_.emplace(next_id_++, std::move(new_connection));
    }
}

bool tcp_proxy::connect_server(connection& it)
{
    it.server = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    set_nodelay(it.server);
    const auto address = socket_address(routes_[it.route_index].to);
    return connect(it.server, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ||
           errno == EINPROGRESS;
}

bool tcp_proxy::handle_events(connection& it, short client_events, short server_events)
{
    if (routes_[it.route_index].faults.blackhole) {
        return true;
    }
    if (it.server < 0) {
        return connect_server(it);
    }
    if (!it.connected) {
        if (server_events == 0) {
            return true;
        }
        int ec = 0;
        socklen_t size = sizeof ec;
        getsockopt(it.server, SOL_SOCKET, SO_ERROR, &ec, &size);
        it.connected = ec == 0;
        return it.connected;
    }
    constexpr short readable = POLLIN | POLLHUP | POLLERR;
    constexpr short writable = POLLOUT | POLLHUP | POLLERR;
    it.forward.writable = it.forward.writable || (server_events & writable) != 0;
    it.back.writable = it.back.writable || (client_events & writable) != 0;
    if ((client_events & readable) != 0 && !read_from(it, true)) {
        return false;
    }
    if ((server_events & readable) != 0 && !read_from(it, false)) {
        return false;
    }
    if (!write_to(it, true) || !write_to(it, false)) {
        return false;
    }
    return !(it.forward.write_ended && it.back.write_ended);
}

bool tcp_proxy::read_from(connection& it, bool forward)
{
    const auto& faults = routes_[it.route_index].faults;
    auto& dir = forward ? it.forward : it.back;
    if (dir.read_ended || dir.queued_bytes >= max_queued_bytes) {
        return true;
    }
    std::array<char, read_buffer_bytes> buf{};
    const auto n = recv(forward ? it.client : it.server, buf.data(), buf.size(), 0);
    if (n < 0) {
        return would_block();
    }
    dir.read_ended = n == 0;
    if (n > 0 && (forward ? faults.drop_forward : faults.drop_back)) {
        return true;
    }
    const auto delay = (forward ? faults.delay_forward : faults.delay_back) + it.jitter_delay;
    auto due = steady_clock::now() + delay;
    if (!dir.queue.empty()) {
        // Keeps the byte order of the connection when the delay is reduced.
        due = std::max(due, dir.queue.back().due);
    }
    dir.queue.push_back({due, std::string(buf.data(), static_cast<std::size_t>(n))});
    dir.queued_bytes += static_cast<std::size_t>(n);
    return true;
}

bool tcp_proxy::write_to(connection& it, bool forward)
{
    auto& owning_route = routes_[it.route_index];
    auto& dir = forward ? it.forward : it.back;
    const int fd = forward ? it.server : it.client;
    while (!dir.queue.empty() && dir.writable && dir.queue.front().due <= steady_clock::now()) {
        auto& front = dir.queue.front();
        if (front.bytes.empty()) {
            shutdown(fd, SHUT_WR);
            dir.write_ended = true;
            dir.queue.clear();
            return true;
        }
        auto size = front.bytes.size();
        const auto limit = owning_route.faults.truncate_after;
        const bool limited = !forward && limit >= 0;
        if (limited) {
            size = std::min(size, static_cast<std::size_t>(
                                      std::max<std::int64_t>(limit - dir.forwarded_bytes, 0)));
        }
        if (limited && size == 0) {
            return false;
        }
        const auto n = send(fd, front.bytes.data(), size, MSG_NOSIGNAL);
        if (n < 0) {
            dir.writable = false;
            return would_block();
        }
        dir.forwarded_bytes += n;
        dir.queued_bytes -= static_cast<std::size_t>(n);
        (forward ? owning_route.bytes_forward : owning_route.bytes_back) +=
            static_cast<std::uint64_t>(n);
        front.bytes.erase(0, static_cast<std::size_t>(n));
        if (front.bytes.empty()) {
            dir.queue.pop_front();
        }
    }
    return true;
}

void tcp_proxy::close_sockets(const connection& it)
{
    for (const int fd : {it.client, it.server}) {
        if (fd >= 0) {
            close(fd);
        }
    }
}

} // namespace toucan::standins
