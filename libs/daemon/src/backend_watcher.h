#pragma once

#include "home_table.h"

#include "toucan/base/clock.h"
#include "toucan/base/worker_pool.h"

#include <functional>

namespace toucan::daemon {

/// Polls the backend servers that this daemon is the home of.
class backend_watcher {
public:
    /// Told when a backend server says of itself that it is leaving.
    using leaving_hook = std::function<void(const backend_server_name&, incarnation)>;
    /// Told which incarnation of a backend server answers.
    using alive_hook = std::function<void(const backend_server_name&, incarnation)>;

    /// @param time clock of the deadlines.
    /// @param homes homes of this daemon.
    /// @param workers run the polls.
    /// @param leaving told of leaving backend servers.
    /// @param alive told of answering backend servers.
    backend_watcher(const clock& time, home_table& homes, worker_pool& workers,
                    leaving_hook leaving, alive_hook alive);

    /// Starts a poll of each backend server.
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
