#pragma once

#include "toucan/policy/backend_choice.h"
#include "toucan/policy/kept_share.h"
#include "toucan/policy/server_ranking.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace toucan::policy {

/// Ways to place requests whose first server is busier than the others.
enum class placement { as_before, two_choices, shedding, kept };

struct even_load_setup {
    placement how = placement::kept;
    std::size_t daemons = 98;
    /// Mean load per slot if all requests run warm.
    double load = 0.4;
    std::uint64_t seed = 11;
    std::size_t objects = 650;
};

/// Measurements of a span of time.
struct even_load_result {
    /// Mean load of the busiest server, relative to the mean of all.
    double busiest = 0;
    /// Coefficient of variation of the mean loads.
    double variation = 0;
    /// Share of the requests that ran on a server without the object.
    double cold = 0;
    /// Share of the requests that reached a server with all slots occupied.
    double above_slots = 0;
    /// Share of the requests that waited in a daemon for more than 250 ms.
    double late = 0;
    /// Mean over the servers of the range of the first daemon's kept share.
    double share_range = 0;
    /// Mean over the servers of the difference of the share between the first and the last daemon.
    double disagreement = 0;
    /// Load per slot of all servers.
    double utilization = 0;
    /// Number of servers that received at least a tenth of the requests for the popular object.
    std::size_t popular_holders = 0;
};

/// Simulates daemons that send requests for objects to backend servers of one region, from reports
/// of load that are 50 to 500 ms old. Time advances in steps of 10 ms.
class even_load_simulation {
public:
    static constexpr std::size_t servers = 100;
    static constexpr std::size_t slots = 6;

    explicit even_load_simulation(const even_load_setup& setup);

    void run(int ms);
    /// Runs and measures.
    [[nodiscard]] even_load_result measure(int ms);
    void set_load(double load) { setup_.load = load; }
    /// @param share share of all requests that concern one object, in addition to its usual ones.
    void set_popular_share(double share) { popular_share_ = share; }
    /// @param factor time that work takes, relative to the usual one.
    void set_slow(std::size_t server, double factor) { servers_[server].factor = factor; }
    void remove(std::size_t server);
    /// Adds a removed server again, with an empty cache.
    void add(std::size_t server);
    /// Replaces the state of a daemon's shares by that of a new process.
    void restart(std::size_t daemon);
    /// Ends or begins the reports to the daemons.
    void set_reports(bool delivered) { reports_delivered_ = delivered; }
    /// Server with the highest mean load in the last measurement.
    [[nodiscard]] std::size_t busiest() const;
    /// Mean load of a server in the last measurement, per slot.
    [[nodiscard]] double utilization(std::size_t server) const;
    [[nodiscard]] double share(std::size_t daemon, std::size_t server) const
    {
        return daemons_[daemon].shares[server].share();
    }

private:
    static constexpr int step_ms = 10;
    static constexpr int warm_ms = 264;
    static constexpr int cold_ms = 871;
    static constexpr std::size_t cache_capacity = 26;
    static constexpr int max_report_age = 500;
    static constexpr int max_wait_ms = 1500;
    static constexpr int late_ms = 250;

    struct pending_request {
        int arrived = 0;
        std::size_t object = 0;
        std::size_t daemon = 0;
        double position = 0;
    };
    struct running_request {
        int until = 0;
        std::size_t daemon = 0;
    };
    struct server_model {
        std::uint64_t key = 0;
        bool present = true;
        double factor = 1;
        std::vector<running_request> running;
        std::deque<pending_request> waiting;
        /// Objects, the most recently used one last.
        std::deque<std::size_t> cache;
        double load_sum = 0;
        /// Requests received for the popular object.
        std::size_t popular_requests = 0;
    };
    using loads = std::array<std::uint8_t, servers>;
    /// Load of all daemons on each server, and the number of daemons that have any.
    struct report {
        std::array<double, servers> load{};
        std::array<double, servers> users{};
    };
    struct daemon_model {
        int report_age = 0;
        /// Step of a cycle in which reports arrive.
        int phase = 0;
        loads own{};
        /// Own loads of the last steps.
        std::vector<loads> history;
        std::array<double, servers> peer_load{};
        std::array<double, servers> limit{};
        std::vector<kept_share> shares{servers};
        std::deque<pending_request> waiting;
    };

    static constexpr std::size_t kept_steps = max_report_age / step_ms + 1;

    void arrive();
    void keep_history();
    void finish(server_model& it, std::size_t index);
    void start(server_model& it, const pending_request& request);
    void record_reports(daemon_model& it);
    void update_shares(daemon_model& it);
    void dispatch_waiting(daemon_model& it);
    [[nodiscard]] bool dispatch(daemon_model& it, const pending_request& request);
    void place(daemon_model& it, const pending_request& request,
               std::vector<backend_option>& options);
    [[nodiscard]] double mean_utilization(const daemon_model& it) const;
    [[nodiscard]] static double load_of(const daemon_model& it, std::size_t server)
    {
        return it.own[server] + it.peer_load[server];
    }

    even_load_setup setup_;
    std::mt19937_64 random_;
    std::uniform_real_distribution<double> uniform_{0, 1};
    int now_ = 0;
    double popular_share_ = 0;
    bool reports_delivered_ = true;
    server_ranking ranking_;
    std::vector<server_model> servers_{servers};
    std::vector<daemon_model> daemons_;
    /// Reports of the last steps.
    std::vector<report> reports_{kept_steps};
    std::vector<std::uint64_t> objects_;
    std::discrete_distribution<std::size_t> popularity_;
    /// Index of a server by its key.
    absl::flat_hash_map<std::uint64_t, std::size_t> index_;
    std::size_t requests_ = 0;
    std::size_t cold_ = 0;
    std::size_t above_slots_ = 0;
    std::size_t late_ = 0;
    int steps_ = 0;
};

} // namespace toucan::policy
