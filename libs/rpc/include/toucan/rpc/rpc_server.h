#pragma once

#include "toucan/base/vm_address.h"
#include "toucan/rpc/daemon_handlers.h"

#include <cstddef>
#include <memory>

namespace toucan::rpc {

/// Cap'n Proto server for the calls of other daemons. One thread runs the event loop of all
/// connections. Handlers run on a worker pool, so that a blocking handler does not stall the event
/// loop. If the queue of the pool is full, a call fails with an error.
class rpc_server {
public:
    /// Binds the address and starts the event loop thread and the workers.
    /// @param listen address to bind; port 0 selects a free port.
    /// @param handlers called on the worker threads.
    /// @param workers number of worker threads.
    /// @param max_queued maximum number of calls that wait for a worker.
    /// @return null, with a last reason, if the address cannot be bound.
    static std::unique_ptr<rpc_server> start(vm_address listen, daemon_handlers handlers,
                                             std::size_t workers, std::size_t max_queued);

    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;
    /// Calls `stop`.
    ~rpc_server();

    /// Bound address, with the selected port.
    [[nodiscard]] vm_address address() const;

    /// Stops accepting connections and calls, then waits until the calls in progress have finished
    /// and their replies are sent.
    void stop();

private:
    struct state;
    explicit rpc_server(std::unique_ptr<state> state);

    std::unique_ptr<state> state_;
};

} // namespace toucan::rpc
