#pragma once

#include "toucan/base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucan::soak {

/// A request as its caller saw it.
struct sent_request {
    std::string id;
    std::string path;
    /// May run more than once.
    bool idempotent = true;
    /// Index of the daemon, and the run of its process.
    std::size_t daemon = 0;
    int daemon_run = 0;
    steady_time sent;
    /// Status of the response; 0 if the connection ended without one, nothing if the caller left.
    std::optional<int> status;
    std::optional<steady_time> ended;
    /// The response is not what the backend server made for this request.
    bool mixed = false;
};

/// A request that a backend server began to work on.
struct run_record {
    std::string id;
    std::string path;
    std::string backend;
    std::string service;
    std::string failure_domain;
    std::string region;
    steady_time at;
    bool cold = false;
};

/// Span of time, for example of a disturbance.
struct span {
    steady_time from;
    steady_time to = steady_time::max();

    [[nodiscard]] bool touches(steady_time begin, steady_time end) const
    {
        return from <= end && to >= begin;
    }
};

/// A change that the store has acknowledged.
struct acknowledged_change {
    enum class kind : std::uint8_t { leaving, evacuated, evacuation_ended, moved } what;
    /// Backend server, failure domain, or service to which the moved route goes now.
    std::string subject;
    steady_time at;
};

/// Everything that the judge needs to know of one run.
struct history {
    std::vector<sent_request> requests;
    std::vector<run_record> runs;
    std::vector<acknowledged_change> changes;
    /// Unplanned disturbance of all daemons, and of single ones.
    std::vector<span> disturbances;
    std::map<std::size_t, std::vector<span>> daemon_disturbances;
    /// SIGTERM of a daemon.
    std::vector<std::pair<std::size_t, steady_time>> stops;
    /// Ends of processes that nobody asked for.
    std::vector<std::string> crashes;
    steady_time calm_from;
    steady_time end;
};

} // namespace toucan::soak
