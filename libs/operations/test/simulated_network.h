#pragma once

#include "fake_client.h"

#include "toucan/base/manual_clock.h"
#include "toucan/operations/operation_coordinator.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace toucan::operations {

/// Simulates several coordinators in one thread, with faults chosen by a seed. Before a blocking
/// step (a remote call, a dispatch) returns, other events may run: requests of callers, kills,
/// restarts, pauses, delayed deliveries and jumps of the clock.
class simulated_network {
public:
    explicit simulated_network(std::uint64_t seed);

    /// Runs one schedule.
    /// @return the first violated check; empty if all hold.
    std::string run();

    struct totals {
        std::uint64_t executions = 0;
        std::uint64_t completed = 0;
        std::uint64_t not_run = 0;
        std::uint64_t unknown = 0;
    };
    [[nodiscard]] const totals& results() const { return totals_; }

private:
    struct process;

    /// Exception that unwinds the pending calls of a killed process.
    struct process_killed {
        const process* victim;
    };

    class client final : public fake_client {
    public:
        client(simulated_network& net, process& from) : net_(net), from_(from) {}
        rpc::rpc_result<rpc::forward_reply>
        forward(vm_address peer, const rpc::forward_request& request, duration timeout) override;
        rpc::rpc_result<rpc::intent_reply> record_intent(vm_address peer,
                                                         const rpc::intent_request& request,
                                                         duration timeout) override;

    private:
        simulated_network& net_;
        process& from_;
    };

    class table final : public platform::table_service {
    public:
        explicit table(simulated_network& net) : net_(net) {}
        platform::read_result read(const std::string& key) override;
        platform::write_result compare_and_set(const std::string& key, std::uint64_t expected,
                                               const std::string& value) override;
        void apply_delayed_write();

    private:
        platform::write_result write(const std::string& key, const std::string& value);

        simulated_network& net_;
        std::map<std::string, std::string> rows_;
        std::vector<std::pair<std::string, std::string>> delayed_writes_;
    };

    struct process {
        process(simulated_network& net, vm_id self);

        vm_id id;
        bool alive = true;
        bool paused = false;
        client peers;
        key_issuer issuer;
        operation_table operations;
        witness_table intents;
        operation_coordinator coordinator;
    };

    struct attempt {
        std::string id;
        outcome result;
    };

    struct operation {
        std::string key;
        std::vector<attempt> attempts;
    };

    bool random_bool(double probability);
    std::size_t random_index(std::size_t n);
    vm_address address_of_node(std::size_t node) const;
    process* process_at(vm_address address);
    void start_process(std::size_t node);
    void choose_witness(process& it);
    void send_caller_request();
    void run_random_event();
    void pause_process(process& it);
    void block_in(process& it);
    template <typename Reply>
    rpc::rpc_result<Reply> deliver_call(process& from, vm_address peer, milliseconds timeout,
                                        const std::function<Reply(process&)>& deliver);
    outcome dispatch(process& from, const rpc::forward_request& request,
                     const dispatch_guard& guard);
    outcome execute_at_backend(const rpc::forward_request& request);
    [[nodiscard]] std::string find_violation() const;

    std::mt19937_64 random_;
    manual_clock clock_;
    table table_{*this};
    std::vector<process*> nodes_;
    std::vector<std::unique_ptr<process>> processes_;
    std::vector<operation> operations_;
    std::vector<std::function<void()>> delayed_actions_;
    std::map<std::string, int> executions_;
    std::map<std::string, std::string> responses_;
    std::set<std::string> executed_attempts_;
    std::uint64_t last_incarnation_ = 0;
    std::uint64_t attempt_count_ = 0;
    int event_depth_ = 0;
    totals totals_;
};

} // namespace toucan::operations
