#pragma once

#include "daemon.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/refcount.h>
#include <kj/time.h>

#include <cstddef>

namespace toucan::rpc {

/// Connection to one peer. Used only on the thread of the event loop.
class peer_connection final : public kj::Refcounted {
public:
    /// @param connecting resolves to the connected stream.
    explicit peer_connection(kj::Promise<kj::Own<kj::AsyncIoStream>> connecting);

    /// Resolves when the connection is established; rejected with the cause if connecting fails.
    kj::Promise<void> ready() { return ready_.addBranch(); }
    [[nodiscard]] bool is_open() const { return state_ != nullptr; }
    /// Interface of the peer. The connection must be open.
    schema::Daemon::Client& daemon();
    /// Resolves when the peer disconnects. The connection must be open.
    kj::Promise<void> on_disconnect();
    /// Closes the connection; the calls in flight fail. Must not be called from a continuation of
    /// such a call.
    void close() { state_ = nullptr; }

    std::size_t calls_in_flight = 0;
    kj::TimePoint last_used = kj::origin<kj::TimePoint>();

private:
    struct open_state {
        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyVatNetwork network;
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
        schema::Daemon::Client daemon;

        explicit open_state(kj::Own<kj::AsyncIoStream> connected);
    };

    kj::Own<open_state> state_;
    kj::ForkedPromise<void> ready_;
};

} // namespace toucan::rpc
