#pragma once

#include "deployment.h"
#include "scenario.h"

#include "toucan/policy/credit_ledger.h"
#include "toucan/policy/credit_wallet.h"
#include "toucan/policy/link_budget.h"
#include "toucan/policy/local_backend_choice.h"
#include "toucan/policy/route_decision.h"
#include "toucan/policy/shift_ramp.h"
#include "toucan/policy/slot_queue.h"

#include <deque>
#include <queue>
#include <random>
#include <vector>

namespace toucan::bench {

/// Simulates the policy library over a virtual clock. Entry VMs, homes and backend servers are
/// plain values, and a queue of timed events replaces messages.
class simulation {
public:
    simulation(const deployment& bench_deployment, const scenario& bench_scenario);
    /// Runs the simulation until all requests have ended.
    [[nodiscard]] result run();

private:
    enum class event_type {
        arrival,
        at_server,
        completed,
        reply,
        credit_request,
        credit_reply,
        tick,
        region_lost
    };
    /// An event; `first` and `second` are indices whose meaning depends on the type.
    struct event {
        steady_time at;
        std::uint64_t number = 0;
        event_type type = event_type::arrival;
        std::size_t first = 0;
        std::size_t second = 0;

        friend bool operator>(const event& lhs, const event& rhs)
        {
            return lhs.at != rhs.at ? lhs.at > rhs.at : lhs.number > rhs.number;
        }
    };
    /// A backend server with the state of its home.
    struct server {
        std::size_t service;
        std::size_t domain;
        backend_server_name name;
        std::uint32_t slots;
        policy::slot_queue queue;
        policy::credit_ledger ledger;
        policy::shift_ramp shift;
        std::uint32_t running = 0;
        /// Queued requests, used without a home queue.
        std::deque<std::size_t> fifo;
        /// Load at the last reports, oldest first.
        std::deque<std::uint32_t> history;
    };
    /// The daemon of an entry VM.
    struct daemon {
        std::size_t domain = 0;
        std::vector<policy::local_backend_choice> choices;
        policy::credit_wallet wallet;
        /// By service, then by target region.
        std::vector<std::vector<policy::shift_ramp>> shifts;
        /// By target region.
        std::vector<policy::link_budget> links;
        /// Idle-slot tokens, by service.
        std::vector<std::deque<std::size_t>> tokens;
        /// Requests that would leave the failure domain with unlimited credit, per 100 ms and
        /// smoothed; by service.
        std::vector<double> demand;
        /// The same count in the current 100 ms, by service.
        std::vector<std::uint32_t> departures;
    };
    /// A request and its progress.
    struct request {
        std::size_t service;
        std::size_t client_region;
        std::size_t entry;
        std::size_t target;
        steady_time arrived;
        steady_time deadline;
        steady_time dispatched;
        policy::held_credit credit;
        std::uint32_t local_tries;
        std::uint32_t remote_tries;
        bool shifted;
        bool refused;
        std::vector<backend_server_name> tried;
    };
    /// A credit request and its result.
    struct credit_request {
        std::size_t entry = 0;
        std::size_t target = 0;
        std::uint32_t wanted = 0;
        steady_time requested_at;
        policy::credit_grant grant;
    };

    void push(std::chrono::nanoseconds in, event_type type, std::size_t first,
              std::size_t second = 0);
    void handle(const event& it);
    void handle_arrival(std::size_t service, std::size_t region);
    void route(std::size_t id);
    void update_reservation(server& it) const;
    void send(std::size_t id, std::size_t target);
    void handle_at_server(std::size_t id);
    void start(std::size_t id);
    void handle_completion(std::size_t id);
    void apply(const policy::slot_changes& changes);
    void refuse(std::size_t id);
    void handle_reply(std::size_t id);
    void finish(std::size_t id, bool served);
    void handle_tick();
    void send_load_reports();
    void request_credit(std::size_t entry);
    void handle_credit_request(std::size_t number);
    [[nodiscard]] double rate(std::size_t service, std::size_t region) const;
    [[nodiscard]] std::size_t region_of(std::size_t domain) const { return domain / 2; }
    [[nodiscard]] std::chrono::nanoseconds delay(std::size_t lhs, std::size_t rhs) const;
    [[nodiscard]] bool is_lost(std::size_t region) const { return region_lost_ && region == 0; }
    [[nodiscard]] std::size_t server_named(const backend_server_name& name) const;

    deployment deployment_;
    scenario scenario_;
    std::mt19937_64 random_;
    steady_time now_{std::chrono::hours(1)};
    steady_time start_time_ = now_;
    std::uint64_t next_event_ = 0;
    bool region_lost_ = false;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<server> servers_;
    std::vector<daemon> daemons_;
    std::vector<request> requests_;
    std::vector<credit_request> credit_requests_;
    /// Requests that have not ended.
    std::size_t open_requests_ = 0;
    std::uint64_t ticks_ = 0;
    /// Response times of served requests, in milliseconds.
    std::vector<float> latencies_;
    /// By service.
    std::vector<std::uint64_t> offered_;
    /// By service.
    std::vector<std::uint64_t> refused_;
    /// Accepted shifts in the current and the previous interval, by service and region.
    std::vector<std::vector<std::array<std::uint64_t, 2>>> shifts_;
    std::uint64_t shift_interval_ = 0;
    /// Bytes sent in the current 100 ms, by sending and receiving region.
    std::vector<std::vector<double>> bytes_;
    result result_;
};

} // namespace toucan::bench
