#pragma once

#include "backend_fault.h"
#include "backend_settings.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace toucan::standins {

/// Slots, drain state, execution record and faults of a backend stand-in. Thread-safe.
class backend_state {
public:
    using clock_type = std::chrono::steady_clock;
    using time_point = clock_type::time_point;

    /// @param settings initial parameters.
    /// @param incarnation hexadecimal incarnation that the health endpoint reports.
    backend_state(backend_settings settings, std::string incarnation);

    void update_settings(const nlohmann::json& body);
    backend_settings settings();
    /// @return service time of a request that starts now, longer during a cold start.
    std::chrono::milliseconds service_time();

    /// Occupies a slot.
    /// @return false if all slots are in use or the grace time of a drain is over.
    bool try_acquire_slot();
    void release_slot();
    /// Starts or ends draining.
    /// @param body JSON object with `draining` and `grace_ms`, the time in which requests are still
    /// accepted.
    void drain(const nlohmann::json& body);
    /// @param frozen if true, the health and load endpoints keep reporting the current state.
    void freeze(bool frozen);

    /// Adds an execution to the record.
    /// @param execution JSON object with the fields of the request.
    void record(nlohmann::json execution);
    void count_arrival();
    void count_shed();
    void count_cancelled();

    void set_fault(const backend_fault& it);
    /// Consumes one use of the present fault if it applies to this request.
    /// @param target path and query of the request.
    /// @return the fault, of kind `none` if no fault applies.
    backend_fault consume_fault(const std::string& target);

    nlohmann::json health();
    nlohmann::json load();
    nlohmann::json executions();
    nlohmann::json usage();

private:
    struct sample {
        time_point at;
        std::uint32_t in_use = 0;
        bool draining = false;
    };

    [[nodiscard]] std::int64_t uptime_ms() const;
    void add_sample();
    /// @return the state that the health and load endpoints report: the current one, or an earlier
    /// one if reports lag or are frozen.
    sample reported_sample();

    const time_point started_at_ = clock_type::now();
    const std::string incarnation_;
    std::mutex mutex_;
    backend_settings settings_;
    std::uint32_t in_use_ = 0;
    std::uint32_t peak_in_use_ = 0;
    std::optional<time_point> grace_ends_at_;
    bool draining_ = false;
    std::optional<time_point> frozen_at_;
    std::deque<sample> samples_;
    std::vector<nlohmann::json> executions_;
    std::map<std::int64_t, std::uint64_t> arrivals_per_second_;
    std::uint64_t shed_count_ = 0;
    std::uint64_t cancelled_count_ = 0;
    backend_fault fault_;
};

} // namespace toucan::standins
