#pragma once

#include "home_table.h"

#include "toucan/base/clock.h"
#include "toucan/base/worker_pool.h"

#include <functional>

namespace toucan::daemon {

/// Polls health and load of the backend servers whose home is this daemon.
class backend_poller {
public:
    /// Called when a backend server reports that it is draining.
    using leaving_hook = std::function<void(const backend_server_name&, incarnation)>;
    /// Called with the incarnation of a backend server that answered a health poll.
    using alive_hook = std::function<void(const backend_server_name&, incarnation)>;

    /// @param time clock of the deadlines.
    /// @param homes homes of this daemon.
    /// @param workers threads that run the polls.
    /// @param leaving called on a worker thread for draining backend servers.
    /// @param alive called on a worker thread for backend servers that answer.
    backend_poller(const clock& time, home_table& homes, worker_pool& workers, leaving_hook leaving,
                   alive_hook alive);

    /// Submits a poll of each backend server to the workers.
    void poll_all();

private:
    void poll(const std::shared_ptr<home>& it);

    const clock& clock_;
    home_table& homes_;
    worker_pool& workers_;
    leaving_hook leaving_;
    alive_hook alive_;
};

} // namespace toucan::daemon
