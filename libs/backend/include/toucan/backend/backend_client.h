#pragma once

#include "toucan/backend/cancellation.h"
#include "toucan/backend/dispatch_result.h"
#include "toucan/base/clock.h"
#include "toucan/base/http_request.h"
#include "toucan/base/vm_address.h"
#include "toucan/operations/dispatch_guard.h"

#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace toucan::backend {

class connection;

/// HTTP to one backend server over a bounded pool of keep-alive connections. Thread-safe.
class backend_client {
public:
    struct counts {
        std::size_t open = 0;
        std::size_t idle = 0;
    };

    /// @param address where the backend server listens.
    /// @param connections most connections open at the same time, at least 1.
    /// @param time clock of the deadlines.
    backend_client(vm_address address, std::size_t connections, const clock& time);
    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;
    ~backend_client();

    /// Sends a request once and reads the whole response. The headers of the caller are passed on
    /// without hop-by-hop headers; `Host`, `Content-Length` and `Toucan-Deadline-Ms` are set.
    /// @param request what to send.
    /// @param deadline when to give up; the connection is then closed.
    /// @param guard asked right before the first byte is written.
    /// @param cancel stops the request early; may be null.
    dispatch_result send(const http_request& request, steady_time deadline,
                         const operations::dispatch_guard& guard = {},
                         const cancellation* cancel = nullptr);

    /// @param connections new limit; connections above it close when their request is done.
    void set_connections(std::size_t connections);

    [[nodiscard]] const vm_address& address() const { return address_; }
    [[nodiscard]] counts read_counts() const;

private:
    std::unique_ptr<connection> take(steady_time deadline);
    void give_back(std::unique_ptr<connection> it);

    vm_address address_;
    const clock& clock_;
    mutable absl::Mutex mutex_;
    std::size_t limit_;
    /// Connections in use and idle.
    std::size_t open_ = 0;
    std::vector<std::unique_ptr<connection>> idle_;
};

} // namespace toucan::backend
