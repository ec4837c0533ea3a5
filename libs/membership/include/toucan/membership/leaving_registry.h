#pragma once

#include "toucan/base/clock.h"
#include "toucan/rpc/leaving_backend.h"

#include <map>
#include <optional>
#include <vector>

namespace toucan::membership {

/// Joins the leaving signals of backend servers. The earliest signal for an incarnation counts and
/// stays, whatever a lagging source says later; a newer incarnation clears it. Not thread-safe.
class leaving_registry {
public:
    /// @param signal zero incarnation stands for the one that runs.
    void note_leaving(const rpc::leaving_backend& signal, steady_time now);
    /// @param run incarnation that the backend server itself reported.
    void note_running(const backend_server_name& backend, incarnation run);

    /// When the present incarnation was first said to be leaving.
    [[nodiscard]] std::optional<steady_time>
    leaving_since(const backend_server_name& backend) const;
    [[nodiscard]] std::vector<rpc::leaving_backend> leaving() const;

private:
    struct record {
        incarnation run;
        std::optional<steady_time> since;
    };
    std::map<backend_server_name, record> records_;
};

} // namespace toucan::membership
