#pragma once

#include "written_configuration.h"

#include "toucan/base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucan::soak {

/// A request and its result, recorded by the caller.
struct sent_request {
    std::string id;
    std::string path;
    std::string host = "a.example";
    /// API key; nothing if it was sent without one.
    std::optional<std::string> key = {};
    /// All configurations allow the request, and its service has servers in an allowed region.
    bool expects_service = true;
    /// The request may be executed more than once.
    bool idempotent = true;
    /// Index of the daemon that received the request, and the start count of its process.
    std::size_t daemon = 0;
    int daemon_run = 0;
    /// Time at which its last part was sent.
    steady_time sent;
    /// Time at which its first part was sent; nothing if it was sent at once.
    std::optional<steady_time> began = {};
    /// Sent while an earlier request of the same connection had no response.
    bool pipelined = false;
    /// Status of the response. 0 if the connection ended without a response; empty if the request
    /// was not sent, was aborted by the caller or has not ended.
    std::optional<int> status;
    std::optional<steady_time> ended;
    /// A 2xx response lacks the seal of a backend server, or has the body of another request.
    bool mismatched = false;
};

/// Start of the execution of a request, recorded by the backend server.
struct execution_record {
    std::string id;
    std::string path;
    std::string backend;
    std::string service;
    std::string failure_domain;
    std::string region;
    steady_time at;
    bool cold = false;
    /// Workspace that the daemon has named.
    std::string workspace = {};
    /// The request had an `Authorization` field.
    bool has_key = false;
    /// Start count of the backend server, which may keep its id.
    int backend_run = 0;
};

/// Request that reached a backend server and was not executed, recorded by the backend server.
struct refused_arrival {
    std::string id;
    std::string backend;
    std::string region;
    steady_time at;
    /// Status of the refusal; 0 if the connection was closed without one.
    int status = 0;
};

/// Closed interval of time, for example of an injected fault.
struct time_span {
    steady_time from;
    steady_time to = steady_time::max();

    [[nodiscard]] bool overlaps(steady_time begin, steady_time end) const
    {
        return from <= end && to >= begin;
    }
};

/// A change that was written to the store.
struct acknowledged_change {
    enum class kind : std::uint8_t { leaving, evacuated, evacuation_ended, moved } type;
    /// Backend server instance, failure domain, or service that the moved route now selects.
    std::string subject;
    steady_time at;
};

/// A request that a daemon has logged as received and left without a response.
struct unanswered_request {
    /// Why its connection ended, by the daemon's log.
    std::string reason;
    /// The daemon's log line.
    std::string line;

    friend bool operator==(const unanswered_request&, const unanswered_request&) = default;
};

/// Input of the judge: all records of one seed.
struct history {
    std::vector<sent_request> requests;
    std::vector<execution_record> executions;
    std::vector<refused_arrival> refused_arrivals;
    /// Configurations in the order in which they were written.
    std::vector<written_configuration> configurations;
    std::vector<acknowledged_change> changes;
    /// Injected faults that affect all daemons, and those that affect one daemon, by its index.
    std::vector<time_span> fault_windows;
    std::map<std::size_t, std::vector<time_span>> daemon_fault_windows;
    /// Index of a daemon and the time at which it received SIGTERM.
    std::vector<std::pair<std::size_t, steady_time>> stops;
    std::vector<unanswered_request> unanswered;
    /// Highest peak of the memory of a daemon process, in MiB.
    std::size_t peak_memory_mb = 0;
    /// Unexpected exits of daemon processes.
    std::vector<std::string> crashes;
    /// The recovery check counts requests that were sent at this time or later.
    steady_time recovery_check_start;
    steady_time end;
};

} // namespace toucan::soak
