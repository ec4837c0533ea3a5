#pragma once

#include "toucan/backend/cancellation.h"
#include "toucan/backend/dispatch_result.h"
#include "toucan/base/clock.h"
#include "toucan/base/http_request.h"
#include "toucan/base/vm_address.h"
#include "toucan/operations/dispatch_guard.h"

#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace toucan::backend {

class connection;

/// Called for a response that arrived but is not used. May run on any thread.
using broken_response_hook =
    std::function<void(const vm_address& from, response_fault fault, const std::string& reason)>;

/// HTTP client of one backend server with a bounded pool of keep-alive connections. Thread-safe.
class backend_client {
public:
    /// Numbers of connections.
    struct counts {
        /// In use and idle.
        std::size_t open = 0;
        std::size_t idle = 0;
    };

    /// @param address HTTP address of the backend server.
    /// @param connections maximum number of open connections; 0 counts as 1.
    /// @param time clock of the deadlines; must outlive the client.
    /// @param broken may be empty.
    backend_client(vm_address address, std::size_t connections, const clock& time,
                   broken_response_hook broken = {});
    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;
    ~backend_client();

    /// Sends a request once, without retries, and reads the complete response. Waits for a free
    /// connection if all are in use. Hop-by-hop headers of the caller are removed; `Host`,
    /// `Content-Length` and `Toucan-Deadline-Ms` are set.
    /// @param deadline end of the wait for a connection and of the exchange; an exchange that
    ///     reaches it closes its connection.
    /// @param guard checked right before the first byte is written; can deny the dispatch.
    /// @param cancel aborts the exchange when set; may be null.
    dispatch_result send(const http_request& request, steady_time deadline,
                         const operations::dispatch_guard& guard = {},
                         const cancellation* cancel = nullptr);

    /// Changes the limit. Idle connections above it close at once, others after their request.
    /// @param connections maximum number of open connections; 0 counts as 1.
    void set_max_connections(std::size_t connections);

    [[nodiscard]] const vm_address& address() const { return address_; }
    [[nodiscard]] counts read_counts() const;

private:
    std::unique_ptr<connection> acquire_connection(steady_time deadline);
    void release_connection(std::unique_ptr<connection> it);

    vm_address address_;
    const clock& clock_;
    broken_response_hook broken_;
    mutable absl::Mutex mutex_;
    std::size_t limit_;
    /// Number of connections, in use and idle.
    std::size_t open_ = 0;
    std::vector<std::unique_ptr<connection>> idle_;
};

} // namespace toucan::backend
