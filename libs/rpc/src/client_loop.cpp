#include "client_loop.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <vector>

namespace toucan::rpc {

namespace {

constexpr std::int64_t idle_checks_per_limit = 4;

} // namespace

client_loop::client_loop(kj::AsyncIoProvider& provider, const rpc_client_options& options)
    : network_(provider.getNetwork()), timer_(provider.getTimer()), options_(options),
      tasks_(std::make_unique<kj::TaskSet>(errors_))
{
    tasks_->add(close_idle());
}

client_loop::~client_loop()
{
    // Destroys the tasks before the connections that they refer to.
    tasks_.reset();
}

std::size_t client_loop::open_connections() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& it) { return it.second->is_open(); }));
}

kj::Promise<kj::Own<kj::AsyncIoStream>> client_loop::connect(vm_address peer)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(peer.port());
    address.sin_addr.s_addr = htonl(peer.ip());
    auto target = network_.getSockaddr(&address, sizeof(address));
    auto connecting = target->connect().attach(kj::mv(target));
    return timer_.timeoutAfter(options_.connect_timeout.count() * kj::MILLISECONDS,
                               kj::mv(connecting));
}

kj::Own<peer_connection> client_loop::find_or_connect(vm_address peer)
{
    const auto existing = connections_.find(peer);
    if (existing != connections_.end()) {
        return kj::addRef(*existing->second);
    }
    auto connection = kj::refcounted<peer_connection>(kj::evalNow([&] { return connect(peer); }));
    connection->last_used = timer_.now();
    connections_.emplace(peer, kj::addRef(*connection));
    // Connecting continues after a call times out, so that the next call finds a connection.
    tasks_->add(
        connection->ready()
            .then([held = kj::addRef(*connection)]() mutable { return held->on_disconnect(); })
            .catch_([](kj::Exception&&) {})
            .then(
                [this, peer, held = kj::addRef(*connection)]() mutable { discard(peer, *held); }));
    return connection;
}

void client_loop::discard(vm_address peer, peer_connection& connection)
{
    const auto existing = connections_.find(peer);
    if (existing != connections_.end() && existing->second.get() == &connection) {
        connections_.erase(existing);
    }
    // Deferred, because this may run within a continuation of a call on the connection.
    tasks_->add(kj::evalLater([held = kj::addRef(connection)]() mutable { held->close(); }));
}

kj::Promise<void> client_loop::close_idle()
{
    const auto limit = options_.idle_limit.count() * kj::MILLISECONDS;
    return timer_.afterDelay(limit / idle_checks_per_limit).then([this, limit] {
        std::vector<vm_address> idle;
        for (const auto& [peer, it] : connections_) {
            if (it->is_open() && it->calls_in_flight == 0 &&
                timer_.now() - it->last_used >= limit) {
                idle.push_back(peer);
            }
        }
        for (const auto& it : idle) {
            discard(it, *connections_.at(it));
        }
        return close_idle();
    });
}

} // namespace toucan::rpc
