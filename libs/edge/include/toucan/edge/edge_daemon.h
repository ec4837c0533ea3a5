#pragma once

#include "toucan/base/clock.h"
#include "toucan/edge/http_client.h"
#include "toucan/edge/record_codec.h"
#include "toucan/edge/settings.h"
#include "toucan/edge/table_client.h"
#include "toucan/edge/wire_names.h"

#include <functional>
#include <memory>
#include <string>

namespace toucan::edge {

/// Adapter to a deployment's platform: interface names, row formats and store access.
struct deployment_adapter {
    wire_names names;
    std::unique_ptr<record_codec> codec;
    /// Creates the client of the shared store. The HTTP client sends to
    /// the store's address and must outlive the result.
    std::function<std::unique_ptr<table_client>(http_client&)> make_table_client;
};

/// Entry daemon. Runs its event loop on the thread that calls `run`.
class edge_daemon {
public:
    /// @param settings_path settings file; its limits are reloaded on SIGHUP.
    /// @param time must outlive the daemon.
    edge_daemon(settings daemon_settings, std::string settings_path, deployment_adapter adapter,
                const clock& time);
    edge_daemon(const edge_daemon&) = delete;
    edge_daemon& operator=(const edge_daemon&) = delete;
    ~edge_daemon();

    /// Serves requests until SIGTERM or SIGINT, then completes the requests in progress within the
    /// stop grace period.
    /// @return false, with the reason in `last_reason`, if the daemon cannot start.
    bool run();

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace toucan::edge
