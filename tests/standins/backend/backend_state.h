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

/// Slots, drain state, executions and faults of a backend server.
class backend_state {
public:
    using clock_type = std::chrono::steady_clock;
    using time_point = clock_type::time_point;

    /// @param settings initial parameters.
    /// @param incarnation hexadecimal number reported by the health endpoint.
    backend_state(backend_settings settings, std::string incarnation);

    void update_settings(const nlohmann::json& body);
    backend_settings settings();
    /// Service time of a request that starts now.
    std::chrono::milliseconds service_time();

    /// Takes a slot. Fails when all are in use or the grace time of a drain is over.
    bool begin_work();
    void end_work();
    /// @param body JSON object with `draining` and `grace_ms`.
    void drain(const nlohmann::json& body);
    /// @param frozen the health and load endpoints keep their present answer.
    void freeze(bool frozen);

    /// Adds an execution to the record.
    /// @param execution JSON object that describes the request.
    void record(nlohmann::json execution);
    void count_arrival();
    void count_shed();
    void count_cancelled();

    void set_fault(const backend_fault& it);
    /// Takes the fault that hits this request.
    /// @param target path and query of the request.
    backend_fault take_fault(const std::string& target);

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

    [[nodiscard]] std::int64_t since_start_ms() const;
    void add_sample();
    /// The state that the health and load endpoints show.
    sample shown();

    const time_point start_ = clock_type::now();
    const std::string incarnation_;
    std::mutex mutex_;
    backend_settings settings_;
    std::uint32_t in_use_ = 0;
    std::uint32_t peak_ = 0;
    std::optional<time_point> drain_ends_;
    bool draining_ = false;
    std::optional<time_point> frozen_at_;
    std::deque<sample> samples_;
    std::vector<nlohmann::json> executions_;
    std::map<std::int64_t, std::uint64_t> arrivals_;
    std::uint64_t shed_ = 0;
    std::uint64_t cancelled_ = 0;
    backend_fault fault_;
};

} // namespace toucan::standins
