#pragma once

#include "toucan/base/clock.h"
#include "toucan/rpc/leaving_backend.h"

#include <map>
#include <optional>
#include <vector>

namespace toucan::membership {

/// Combines the leaving signals of backend servers from several sources. The first signal for an
/// incarnation stays in force, even if a lagging source still reports the backend server as
/// running. A newer incarnation clears it. Not thread-safe.
class leaving_registry {
public:
    /// Records a leaving signal; ignored if it is for an older incarnation.
    /// @param signal a zero incarnation means the one that is running.
    void record_leaving(const rpc::leaving_backend& signal, steady_time now);
    /// Records the running incarnation of a backend server.
    /// @param run incarnation reported by the backend server itself.
    void record_running(const backend_server_name& backend, incarnation run);

    /// Time of the first leaving signal for the current incarnation; nothing if there is none.
    [[nodiscard]] std::optional<steady_time>
    leaving_since(const backend_server_name& backend) const;
    /// Backend servers whose current incarnation is leaving.
    [[nodiscard]] std::vector<rpc::leaving_backend> leaving() const;

private:
    struct record {
        incarnation run;
        std::optional<steady_time> leaving_since;
    };
    std::map<backend_server_name, record> records_;
};

} // namespace toucan::membership
