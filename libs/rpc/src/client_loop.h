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

/// Connections of an `rpc_client`. Used only on the thread of its event loop.
class client_loop final {
public:
    client_loop(kj::AsyncIoProvider& provider, const rpc_client_options& options);
    client_loop(const client_loop&) = delete;
    client_loop& operator=(const client_loop&) = delete;
    ~client_loop();

    [[nodiscard]] std::size_t open_connections() const;

    /// Sends one call. The timeout includes connecting.
    /// @param build creates the Cap'n Proto request for the interface of the peer; must stay valid
    ///     until the promise resolves.
    template <typename Reply, typename Build>
    kj::Promise<rpc_result<Reply>> call(vm_address peer, std::chrono::milliseconds timeout,
                                        const Build& build);

private:
    /// Progress of a call. Determines whether a failed call is `not_sent` or `no_reply`.
    struct call_progress {
        bool sent = false;
        kj::Own<peer_connection> connection;
    };

    /// Returns the connection to a peer; starts connecting if there is none.
    kj::Own<peer_connection> find_or_connect(vm_address peer);
    kj::Promise<kj::Own<kj::AsyncIoStream>> connect(vm_address peer);
    /// Removes a connection from the table and closes it in a later turn of the event loop.
    void discard(vm_address peer, peer_connection& connection);
    /// Periodically closes connections that exceed the idle limit.
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
    auto progress = std::make_shared<call_progress>();
    progress->connection = find_or_connect(peer);

    auto send = [this, progress, &build]() -> kj::Promise<result> {
        auto& connection = *progress->connection;
        if (!connection.is_open()) {
            return result(make_error(rpc_failure::not_sent, "the connection was closed"));
        }
        auto request = build(connection.daemon());
        if (request.totalSize().wordCount * sizeof(capnp::word) > max_message_bytes) {
            return result(make_error(rpc_failure::not_sent, "the request is too large"));
        }
        progress->sent = true;
        ++connection.calls_in_flight;
        connection.last_used = timer_.now();
        return request.send()
            .then([]<typename T>(capnp::Response<T>&& response) {
                return result(decode(static_cast<typename T::Reader&>(response)));
            })
            .attach(
                kj::defer([held = kj::addRef(connection)]() mutable { --held->calls_in_flight; }));
    };
    auto on_error = [progress](kj::Exception&& ex) {
        const auto kind = progress->sent ? rpc_failure::no_reply : rpc_failure::not_sent;
        return result(make_error(kind, ex.getDescription().cStr()));
    };
    auto on_timeout = [this, progress, peer] {
        if (!progress->sent) {
            return result(make_error(rpc_failure::not_sent, "no connection in time"));
        }
        // Closes the connection, so that a late reply cannot reach another call.
        discard(peer, *progress->connection);
        return result(make_error(rpc_failure::no_reply, "no reply in time"));
    };
    return progress->connection->ready()
        .then(kj::mv(send))
        .catch_(kj::mv(on_error))
        .exclusiveJoin(
            timer_.afterDelay(timeout.count() * kj::MILLISECONDS).then(kj::mv(on_timeout)));
}

} // namespace toucan::rpc
