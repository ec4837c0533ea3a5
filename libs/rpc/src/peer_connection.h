#pragma once

#include "daemon.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/refcount.h>
#include <kj/time.h>

#include <cstddef>

namespace toucan::rpc {

/// A connection to one peer. Used on the thread of the event loop only.
class peer_connection final : public kj::Refcounted {
public:
    /// @param connecting the stream once it is connected.
    explicit peer_connection(kj::Promise<kj::Own<kj::AsyncIoStream>> connecting);

    /// Resolves when the connection is up, or fails with why it is not.
    kj::Promise<void> ready() { return ready_.addBranch(); }
    [[nodiscard]] bool is_open() const { return state_ != nullptr; }
    schema::Daemon::Client& daemon();
    kj::Promise<void> on_disconnect();
    /// Ends the calls in flight. Must not be called from within one of their continuations.
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
