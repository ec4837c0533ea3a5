#pragma once

#include "deployment.h"
#include "scenario.h"

#include "toucan/policy/credit_ledger.h"
#include "toucan/policy/credit_wallet.h"
#include "toucan/policy/home_choice.h"
#include "toucan/policy/link_budget.h"
#include "toucan/policy/route_decision.h"
#include "toucan/policy/shift_ramp.h"
#include "toucan/policy/slot_queue.h"

#include <deque>
#include <queue>
#include <random>
#include <vector>

namespace toucan::bench {

/// The decision library over a virtual clock: entry VMs, homes and backend servers as plain values,
/// and one queue of timed events in place of messages.
class world {
public:
    world(const deployment& places, const scenario& how);
    [[nodiscard]] result run();

private:
    enum class event_type { arrival, at_server, done, reply, credit_ask, credit_reply, tick, lose };
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
    struct server {
        std::size_t service;
        std::size_t domain;
        backend_server_name name;
        std::uint32_t slots;
        policy::slot_queue queue;
        policy::credit_ledger ledger;
        policy::shift_ramp shift;
        std::uint32_t running = 0;
        std::deque<std::size_t> fifo;
        std::deque<std::uint32_t> history;
    };
    struct daemon {
        std::size_t domain = 0;
        std::vector<policy::home_choice> choices;
        policy::credit_wallet wallet;
        /// By service, then target region.
        std::vector<std::vector<policy::shift_ramp>> shifts;
        std::vector<policy::link_budget> links;
        std::vector<std::deque<std::size_t>> tokens;
        /// Requests that had to leave in the current tick, smoothed; by service.
        std::vector<double> demand;
        std::vector<std::uint32_t> left;
    };
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
    struct ask {
        std::size_t entry = 0;
        std::size_t target = 0;
        std::uint32_t wanted = 0;
        steady_time asked_at;
        policy::credit_grant grant;
    };

    void push(std::chrono::nanoseconds in, event_type type, std::size_t first,
              std::size_t second = 0);
    void handle(const event& it);
    void arrive(std::size_t service, std::size_t region);
    void route(std::size_t id);
    void reserve(server& it) const;
    void send(std::size_t id, std::size_t target);
    void at_server(std::size_t id);
    void start(std::size_t id);
    void done(std::size_t id);
    void apply(const policy::slot_changes& changes);
    void refuse(std::size_t id);
    void reply(std::size_t id);
    void finish(std::size_t id, bool served);
    void tick();
    void report();
    void ask_for_credit(std::size_t entry);
    void grant(std::size_t number);
    [[nodiscard]] double rate(std::size_t service, std::size_t region) const;
    [[nodiscard]] std::size_t region_of(std::size_t domain) const { return domain / 2; }
    [[nodiscard]] std::chrono::nanoseconds delay(std::size_t lhs, std::size_t rhs) const;
    [[nodiscard]] bool lost(std::size_t region) const { return lost_ && region == 0; }
    [[nodiscard]] std::size_t server_named(const backend_server_name& name) const;

    deployment places_;
    scenario how_;
    std::mt19937_64 random_;
    steady_time now_{std::chrono::hours(1)};
    steady_time begin_ = now_;
    std::uint64_t next_event_ = 0;
    bool lost_ = false;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<server> servers_;
    std::vector<daemon> daemons_;
    std::vector<request> requests_;
    std::vector<ask> asks_;
    std::size_t open_ = 0;
    std::uint64_t ticks_ = 0;
    std::vector<float> latencies_;
    std::vector<std::uint64_t> offered_;
    std::vector<std::uint64_t> refused_;
    /// By service and region: accepted shifts in the present and the previous interval.
    std::vector<std::vector<std::array<std::uint64_t, 2>>> shifts_;
    std::uint64_t shift_interval_ = 0;
    /// Bytes sent from region to region in the present 100 ms.
    std::vector<std::vector<double>> bytes_;
    result result_;
};

} // namespace toucan::bench
