#pragma once

#include "message_limit.h"
#include "peer_connection.h"
#include "task_errors.h"
#include "toucan/base/vm_address.h"
#include "toucan/rpc/daemon_client.h"
#include "toucan/rpc/rpc_client_options.h"

#include <absl/container/flat_hash_map.h>
#include <kj/async-io.h>

#include <chrono>
#include <exception>
#include <memory>
#include <utility>

namespace toucan::rpc {

/// The connections of an `rpc_client`, on the thread of its event loop.
class client_loop final {
public:
    client_loop(kj::AsyncIoProvider& provider, rpc_client_options options);
    client_loop(const client_loop&) = delete;
    client_loop& operator=(const client_loop&) = delete;
    ~client_loop();

    [[nodiscard]] std::size_t open_connections() const;

    /// Makes one call.
    /// @param build makes the Cap'n Proto request, given the peer's interface.
    template <typename Reply, typename Build>
    kj::Promise<rpc_result<Reply>> call(vm_address peer, std::chrono::milliseconds timeout,
                                        const Build& build);

private:
    /// How far a call got; decides whether the peer can have seen it.
    struct progress {
        bool sent = false;
        kj::Own<peer_connection> connection;
    };

    kj::Own<peer_connection> connection_to(vm_address peer);
    kj::Promise<kj::Own<kj::AsyncIoStream>> connect(vm_address peer);
    /// Stops using a connection and ends its calls soon after.
    void forget(vm_address peer, peer_connection& connection);
    kj::Promise<void> close_idle();

    kj::Network& network_;
    kj::Timer& timer_;
    rpc_client_options options_;
    absl::flat_hash_map<vm_address, kj::Own<peer_connection>> connections_;
    task_errors errors_;
    std::unique_ptr<kj::TaskSet> tasks_;
};

inline rpc_error make_error(rpc_failure kind, const char* reason)
{
    return {kind, reason};
}

template <typename Reply, typename Build>
kj::Promise<rpc_result<Reply>> client_loop::call(vm_address peer, std::chrono::milliseconds timeout,
                                                 const Build& build)
{
    using result = rpc_result<Reply>;
    auto track = std::make_shared<progress>();
    track->connection = connection_to(peer);

    auto send = [this, track, &build]() -> kj::Promise<result> {
        auto& connection = *track->connection;
        if (!connection.is_open()) {
            return result(make_error(rpc_failure::not_sent, "the connection was closed"));
        }
        auto request = build(connection.daemon());
        if (request.totalSize().wordCount * sizeof(capnp::word) > max_message_bytes) {
            return result(make_error(rpc_failure::not_sent, "the request is too large"));
        }
        track->sent = true;
        ++connection.calls_in_flight;
        connection.last_used = timer_.now();
        return request.send()
            .then([]<typename T>(capnp::Response<T>&& response) {
                return result(decode(static_cast<typename T::Reader&>(response)));
            })
            .attach(
                kj::defer([held = kj::addRef(connection)]() mutable { --held->calls_in_flight; }));
    };
    auto explain = [track](kj::Exception&& ex) {
        const auto kind = track->sent ? rpc_failure::no_reply : rpc_failure::not_sent;
        return result(make_error(kind, ex.getDescription().cStr()));
    };
    auto overdue = [this, track, peer] {
        if (!track->sent) {
            return result(make_error(rpc_failure::not_sent, "no connection in time"));
        }
        // A late reply on this connection must not be taken for another one.
        forget(peer, *track->connection);
        return result(make_error(rpc_failure::no_reply, "no reply in time"));
    };
    return track->connection->ready()
        .then(kj::mv(send))
        .catch_(kj::mv(explain))
        .exclusiveJoin(timer_.afterDelay(timeout.count() * kj::MILLISECONDS).then(kj::mv(overdue)));
}

} // namespace toucan::rpc
