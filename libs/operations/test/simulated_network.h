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

/// Several coordinators in one thread, with faults chosen by a seed. Whatever blocks (a remote
/// call, a dispatch) may let other things happen first: requests of callers, kills, restarts,
/// pauses, late deliveries and long waits.
class simulated_network {
public:
    explicit simulated_network(std::uint64_t seed);

    /// Runs one schedule and returns what is wrong; empty if all checks hold.
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

    /// Unwinds the calls of a process that was killed in the middle of them.
    struct killed {
        const process* who;
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
        void land_late_write();

    private:
        platform::write_result write(const std::string& key, const std::string& value);

        simulated_network& net_;
        std::map<std::string, std::string> rows_;
        std::vector<std::pair<std::string, std::string>> late_;
    };

    struct process {
        process(simulated_network& net, vm_id self);

        vm_id id;
        bool alive = true;
        bool frozen = false;
        client peers;
        key_issuer issuer;
        operation_table operations;
        witness_table witnessed;
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

    bool chance(double share);
    std::size_t pick(std::size_t n);
    vm_address address_of(std::size_t node) const;
    process* at(vm_address address);
    void start(std::size_t node);
    void choose_witness(process& it);
    void call();
    void happen();
    void pause(process& it);
    void wait_in(process& it);
    template <typename Reply>
    rpc::rpc_result<Reply> carry(process& from, vm_address peer, milliseconds timeout,
                                 const std::function<Reply(process&)>& deliver);
    outcome dispatch(process& at, const rpc::forward_request& request, const dispatch_guard& guard);
    outcome execute_at_backend(const rpc::forward_request& request);
    [[nodiscard]] std::string check() const;

    std::mt19937_64 random_;
    manual_clock clock_;
    table table_{*this};
    std::vector<process*> nodes_;
    std::vector<std::unique_ptr<process>> processes_;
    std::vector<operation> operations_;
    std::vector<std::function<void()>> late_;
    std::map<std::string, int> executions_;
    std::map<std::string, std::string> responses_;
    std::set<std::string> executed_attempts_;
    std::uint64_t started_ = 0;
    std::uint64_t attempts_ = 0;
    int depth_ = 0;
    totals totals_;
};

} // namespace toucan::operations
