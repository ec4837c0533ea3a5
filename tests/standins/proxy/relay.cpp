#include "relay.h"

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

/// A side that sends faster than the other reads waits at this size.
constexpr std::size_t max_queued_bytes = 1U << 20U;
constexpr std::size_t read_bytes = 65536;
constexpr int longest_poll_ms = 1000;

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

relay::relay(std::uint32_t seed) : random_(seed), wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

bool relay::add_route(const vm_address& listen, const vm_address& to)
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

bool relay::open_listener(route& it)
{
    it.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(it.fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = socket_address(it.listen);
    if (bind(it.fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        listen(it.fd, SOMAXCONN) == 0) {
        return true;
    }
    close(it.fd);
    it.fd = -1;
    return false;
}

void relay::set_faults(const nlohmann::json& body)
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
        if (it.faults.cut && it.fd >= 0) {
            close(it.fd);
            it.fd = -1;
            std::erase_if(connections_, [n](const auto& entry) {
                if (entry.second.route_index != n) {
                    return false;
                }
                close_both(entry.second);
                return true;
            });
        }
        if (!it.faults.cut && it.fd < 0 && !open_listener(it)) {
            throw std::runtime_error("cannot listen on " + it.listen.to_string() + " again");
        }
    }
    eventfd_write(wake_, 1);
}

nlohmann::json relay::counters()
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

void relay::run()
{
    std::vector<pollfd> fds;
    std::vector<std::uint64_t> ids;
    while (true) {
        const int timeout = collect(fds, ids);
        poll(fds.data(), fds.size(), timeout);
        const std::lock_guard lock(mutex_);
        if (fds[0].revents != 0) {
            eventfd_t n = 0;
            eventfd_read(wake_, &n);
        }
        for (std::size_t it = 0; it < routes_.size(); ++it) {
            accept_all(it);
        }
        // Each connection has two entries behind the one of the event descriptor and the routes.
        const auto first = 1 + routes_.size();
        for (std::size_t it = 0; it < ids.size(); ++it) {
            const auto found = connections_.find(ids[it]);
            if (found == connections_.end()) {
                continue;
            }
            if (!serve(found->second, fds[first + 2 * it].revents,
                       fds[first + 2 * it + 1].revents)) {
                close_both(found->second);
                connections_.erase(found);
            }
        }
    }
}

int relay::collect(std::vector<pollfd>& fds, std::vector<std::uint64_t>& ids)
{
    const std::lock_guard lock(mutex_);
    fds.assign(1, pollfd{wake_, POLLIN, 0});
    ids.clear();
    for (const auto& it : routes_) {
        fds.push_back({it.fd, POLLIN, 0});
    }
    const auto now = steady_clock::now();
    auto next = now + milliseconds(longest_poll_ms);
    for (const auto& [id, it] : connections_) {
        ids.push_back(id);
        pollfd client{it.client, 0, 0};
        pollfd server{it.server, 0, 0};
        const bool idle = routes_[it.route_index].faults.blackhole;
        const auto watch = [&](const direction& from, pollfd& source, pollfd& sink) {
            if (!from.read_ended && from.queued < max_queued_bytes) {
                source.events |= POLLIN;
            }
            if (!from.queue.empty() && !from.writable) {
                sink.events |= POLLOUT;
            }
            else if (!from.queue.empty()) {
                next = std::min(next, from.queue.front().due);
            }
        };
        if (idle) {
            // A negative descriptor is skipped, so that a hang-up does not wake the loop.
            client.fd = -1;
            server.fd = -1;
        }
        else if (!it.connected) {
            if (it.server < 0) {
                next = now;
            }
            client.fd = -1;
            server.events = POLLOUT;
        }
        else {
            watch(it.forward, client, server);
            watch(it.back, server, client);
            // An ended side reports a hang-up all the time.
            client.fd = client.events == 0 ? -1 : client.fd;
            server.fd = server.events == 0 ? -1 : server.fd;
        }
        fds.push_back(client);
        fds.push_back(server);
    }
    const auto wait = std::max(next - now, steady_clock::duration::zero());
    return static_cast<int>(std::chrono::ceil<milliseconds>(wait).count());
}

void relay::accept_all(std::size_t route_index)
{
    auto& it = routes_[route_index];
    while (it.fd >= 0) {
        const int fd = accept4(it.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        set_nodelay(fd);
        ++it.connections;
        connection made;
        made.route_index = route_index;
        made.client = fd;
        if (it.faults.jitter.count() > 0) {
            made.extra_delay =
                milliseconds(static_cast<std::int64_t>(random_()) % it.faults.jitter.count());
        }
        connections_.emplace(next_id_++, std::move(made));
    }
}

bool relay::connect_server(connection& it)
{
    it.server = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    set_nodelay(it.server);
    const auto address = socket_address(routes_[it.route_index].to);
    return connect(it.server, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ||
           errno == EINPROGRESS;
}

bool relay::serve(connection& it, short client_events, short server_events)
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

bool relay::read_from(connection& it, bool forward)
{
    const auto& faults = routes_[it.route_index].faults;
    auto& dir = forward ? it.forward : it.back;
    if (dir.read_ended || dir.queued >= max_queued_bytes) {
        return true;
    }
    std::array<char, read_bytes> buf{};
    const auto n = recv(forward ? it.client : it.server, buf.data(), buf.size(), 0);
    if (n < 0) {
        return would_block();
    }
    dir.read_ended = n == 0;
    if (n > 0 && (forward ? faults.drop_forward : faults.drop_back)) {
        return true;
    }
    const auto delay = (forward ? faults.delay_forward : faults.delay_back) + it.extra_delay;
    auto due = steady_clock::now() + delay;
    if (!dir.queue.empty()) {
        // Bytes of one connection keep their order when a delay becomes shorter.
        due = std::max(due, dir.queue.back().due);
    }
    dir.queue.push_back({due, std::string(buf.data(), static_cast<std::size_t>(n))});
    dir.queued += static_cast<std::size_t>(n);
    return true;
}

bool relay::write_to(connection& it, bool forward)
{
    auto& owner = routes_[it.route_index];
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
        const auto limit = owner.faults.truncate_after;
        const bool limited = !forward && limit >= 0;
        if (limited) {
            size = std::min(
                size, static_cast<std::size_t>(std::max<std::int64_t>(limit - dir.passed, 0)));
        }
        if (limited && size == 0) {
            return false;
        }
        const auto n = send(fd, front.bytes.data(), size, MSG_NOSIGNAL);
        if (n < 0) {
            dir.writable = false;
            return would_block();
        }
        dir.passed += n;
        dir.queued -= static_cast<std::size_t>(n);
        (forward ? owner.bytes_forward : owner.bytes_back) += static_cast<std::uint64_t>(n);
        front.bytes.erase(0, static_cast<std::size_t>(n));
        if (front.bytes.empty()) {
            dir.queue.pop_front();
        }
    }
    return true;
}

void relay::close_both(const connection& it)
{
    for (const int fd : {it.client, it.server}) {
        if (fd >= 0) {
            close(fd);
        }
    }
}

} // namespace toucan::standins
