#pragma once

#include "toucan/base/vm_address.h"
#include "toucan/rpc/daemon_handlers.h"

#include <cstddef>
#include <memory>

namespace toucan::rpc {

/// Answers calls of other daemons. One thread carries the connections; handlers run on a pool of
/// workers, so that a blocking handler delays no other call. Calls that find the pool's queue full
/// are answered with an error.
class rpc_server {
public:
    /// @param listen address to bind; port 0 takes a free one.
    /// @param handlers what to do with each call.
    /// @param workers threads that run handlers.
    /// @param max_queued calls that may wait for a worker.
    /// @return null with a last reason if the address cannot be bound.
    static std::unique_ptr<rpc_server> start(vm_address listen, daemon_handlers handlers,
                                             std::size_t workers, std::size_t max_queued);

    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;
    /// Stops as `stop` does.
    ~rpc_server();

    /// The bound address.
    [[nodiscard]] vm_address address() const;

    /// Stops accepting connections and calls, finishes the calls under way and sends their replies.
    void stop();

private:
    struct state;
    explicit rpc_server(std::unique_ptr<state> state);

    std::unique_ptr<state> state_;
};

} // namespace toucan::rpc
