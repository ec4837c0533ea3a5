#include "support/caller_load.h"
#include "support/deployment.h"
#include "support/execution_judge.h"
#include "support/http.h"
#include "support/test_caller.h"
#include "support/wait_until.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <iostream>
#include <random>
#include <thread>

namespace toucan::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Fault that is injected, lasts for `fault_duration` and is cleared. Both functions run on the
/// main thread, because a child process is killed when the thread that started it ends.
struct timed_fault {
    std::string name;
    std::function<void(deployment&, std::size_t victim)> inject;
    std::function<void(deployment&, std::size_t victim)> clear;
};

const timed_fault kill_entry_vm = {
    "entry VM killed",
    [](deployment& it, std::size_t victim) { it.entry_vms()[victim].process->kill(); },
    [](deployment& it, std::size_t victim) {
        it.start_daemon(victim);
    }};

const timed_fault freeze_entry_vm = {
    "entry VM frozen",
    [](deployment& it, std::size_t victim) { it.entry_vms()[victim].process->suspend(); },
    [](deployment& it, std::size_t victim) {
        it.entry_vms()[victim].process->resume();
    }};

void set_all_links(deployment& it, const nlohmann::json& faults)
{
    const auto& domains = it.plan().domains;
    for (std::size_t lhs = 0; lhs < domains.size(); ++lhs) {
        for (std::size_t rhs = lhs + 1; rhs < domains.size(); ++rhs) {
            it.set_link(domains[lhs].name, domains[rhs].name, faults);
        }
    }
}

const timed_fault cut_domains = {"cut between failure domains",
                                 [](deployment& it, std::size_t) {
                                     set_all_links(it, {{"blackhole", true}});
                                 },
                                 [](deployment& it, std::size_t) {
                                     set_all_links(it, {{"blackhole", false}});
                                 }};

void set_routes_to(deployment& it, std::size_t victim, const nlohmann::json& faults)
{
    for (std::size_t from = 0; from < it.entry_vms().size(); ++from) {
        if (from != victim) {
            it.set_route(from, victim, faults);
        }
    }
}

const timed_fault lost_rpc_replies = {
    "replies of one entry VM lost",
    [](deployment& it, std::size_t victim) {
        set_routes_to(it, victim, {{"drop_back", true}});
    },
    [](deployment& it, std::size_t victim) {
        set_routes_to(it, victim, {{"drop_back", false}, {"cut", true}});
        set_routes_to(it, victim, {{"cut", false}});
    }};

const timed_fault store_down = {"store down",
                                [](deployment& it, std::size_t) {
                                    it.set_platform_faults({{"outage", true}});
                                },
                                [](deployment& it, std::size_t) {
                                    it.set_platform_faults({{"outage", false}});
                                }};

const timed_fault lost_claim_replies = {
    "replies to claims lost",
    [](deployment& it, std::size_t) {
        it.set_platform_faults({{"lost_replies", 1'000'000}, {"key_prefix", "claim/"}});
    },
    [](deployment& it, std::size_t) {
        it.set_platform_faults({{"lost_replies", 0}});
    }};

const timed_fault late_claims = {"claims take effect late",
                                 [](deployment& it, std::size_t) {
                                     it.set_platform_faults({{"late_writes", 1'000'000},
                                                             {"late_by_ms", 1000},
                                                             {"key_prefix", "claim/"}});
                                 },
                                 [](deployment& it, std::size_t) {
                                     it.set_platform_faults({{"late_writes", 0}});
                                 }};

const timed_fault backend_answers_lost = {
    "answers of backend servers lost",
    [](deployment& it, std::size_t) {
        for (std::size_t n = 0; n < it.backends().size(); ++n) {
            it.set_backend(n, "fault", {{"kind", "reset"}, {"count", 1'000'000}});
        }
    },
    [](deployment& it, std::size_t) {
        for (std::size_t n = 0; n < it.backends().size(); ++n) {
            it.set_backend(n, "fault", {{"kind", "none"}, {"count", 0}});
        }
    }};

/// Longer than the deadline of every request and every timeout of the daemon.
constexpr seconds fault_duration{6};

} // namespace

/// A non-idempotent operation is executed at most once, and no attempt that is refused as "not run"
/// was executed.
class at_most_once_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(at_most_once_test);
    CPPUNIT_TEST(owner_killed_before_dispatch);
    CPPUNIT_TEST(owner_killed_during_dispatch);
    CPPUNIT_TEST(owner_killed_after_the_answer);
    CPPUNIT_TEST(owner_frozen_and_resumed);
    CPPUNIT_TEST(owner_without_witness_killed);
    CPPUNIT_TEST(claim_with_lost_reply);
    CPPUNIT_TEST(single_faults_under_load);
    CPPUNIT_TEST(pairs_of_faults_under_load);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a false refusal: after the witness has sealed the killed owner and a caller
    // has received "not run", no daemon may execute the operation. An order with a new key
    // completes.
    void owner_killed_before_dispatch()
    {
        deployment system(plan());
        system.start();
        auto caller = caller_of(system);
        const auto key = caller.next_key();
        const auto owner = owner_of(system, key);
        system.entry_vms()[owner].process->kill();
        expect_result(system, caller, owner, key, attempt_outcome::not_run);
        expect_executions(system, caller, 0);
        expect_new_key_completes(system, caller, owner);
    }

    // Guards against a second dispatch by another daemon while a backend server still executes the
    // first one.
    void owner_killed_during_dispatch()
    {
        deployment system(plan());
        system.start();
        stall_backends(system, 4000);
        auto caller = caller_of(system);
        const auto key = caller.next_key();
        const auto owner = owner_of(system, key);
        auto first = std::async(std::launch::async, [&system, owner, key] {
            auto other = caller_of(system);
            other.attempt(system.entry_vms()[owner].http, order_request(), "order", key);
            return other.log();
        });
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(),
                               wait_until([&] { return execution_count(system, "order") == 1; }));
        system.entry_vms()[owner].process->kill();
        const auto log = first.get();
        expect_result(system, caller, owner, key, attempt_outcome::unknown);
        expect_executions(system, caller, 1, log);
    }

    // Guards against a second execution after the owner has lost its record of the outcome in a
    // restart.
    void owner_killed_after_the_answer()
    {
        deployment system(plan());
        system.start();
        auto caller = caller_of(system);
        const auto key = caller.next_key();
        const auto owner = owner_of(system, key);
        const auto it =
            caller.attempt(system.entry_vms()[owner].http, order_request(), "order", key);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.reason, std::string("completed"),
                                     std::string(to_string(it.result)));
        system.entry_vms()[owner].process->kill();
        expect_result(system, caller, owner, key, attempt_outcome::unknown);
        system.start_daemon(owner);
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_ready({owner}));
        caller.attempt(system.entry_vms()[owner].http, order_request(), "order", key);
        expect_executions(system, caller, 1);
    }

    // Guards against an owner that resumes after a pause and executes an operation that other
    // daemons have reported as not run meanwhile.
    void owner_frozen_and_resumed()
    {
        deployment system(plan());
        system.start();
        auto caller = caller_of(system);
        const auto key = caller.next_key();
        const auto owner = owner_of(system, key);
        system.entry_vms()[owner].process->suspend();
        // The socket of the frozen owner holds this request until the owner resumes and reads it.
        auto waiting = std::async(std::launch::async, [&system, owner, key] {
            auto other = caller_of(system);
            other.attempt(system.entry_vms()[owner].http, order_request(), "order", key);
            return other.log();
        });
        std::this_thread::sleep_for(milliseconds(200));
        expect_result(system, caller, owner, key, attempt_outcome::not_run);
        std::this_thread::sleep_for(fault_duration);
        system.entry_vms()[owner].process->resume();
        const auto log = waiting.get();
        caller.attempt(system.entry_vms()[owner].http, order_request(), "order", key);
        expect_executions(system, caller, 0, log);
        expect_new_key_completes(system, caller, owner);
    }

    // Guards against a false refusal of an executed operation when its owner was the only entry VM
    // of its failure domain.
    void owner_without_witness_killed()
    {
        auto it = plan();
        it.domains[0].entry_vms = 1;
        deployment system(it);
        system.start();
        auto caller = caller_of(system);
        const auto key = caller.next_key();
        const auto owner = owner_of(system, key);
        const auto answer =
            caller.attempt(system.entry_vms()[owner].http, order_request(), "order", key);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.reason, std::string("completed"),
                                     std::string(to_string(answer.result)));
        system.entry_vms()[owner].process->kill();
        expect_result(system, caller, owner, key, attempt_outcome::unknown);
        expect_executions(system, caller, 1);
    }

    // Guards against an owner that treats its own claim as that of another daemon after the reply
    // of the store was lost.
    void claim_with_lost_reply()
    {
        deployment system(plan());
        system.start();
        system.set_platform_faults({{"lost_replies", 1}, {"key_prefix", "claim/"}});
        auto caller = caller_of(system);
        const auto key = caller_chosen_key("lost");
        for (const auto& vm : system.entry_addresses()) {
            const auto it = caller.attempt(vm, order_request(), "order", key);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.reason, std::string("completed"),
                                         std::string(to_string(it.result)));
        }
        expect_executions(system, caller, 1);
    }

    // Guards against a second execution or a false refusal during a fault or after it is cleared.
    void single_faults_under_load()
    {
        std::uint32_t seed = 100;
        for (const auto* it :
             {&kill_entry_vm, &freeze_entry_vm, &cut_domains, &lost_rpc_replies, &store_down,
              &lost_claim_replies, &late_claims, &backend_answers_lost}) {
            run_under_load(++seed, {it});
        }
    }

    // Guards against recovery that is correct for one fault only: the second fault begins while the
    // first one lasts, at another entry VM if it affects a single one.
    void pairs_of_faults_under_load()
    {
        std::uint32_t seed = 200;
        run_under_load(++seed, {&kill_entry_vm, &kill_entry_vm});
        run_under_load(++seed, {&freeze_entry_vm, &kill_entry_vm});
        run_under_load(++seed, {&freeze_entry_vm, &freeze_entry_vm});
        run_under_load(++seed, {&cut_domains, &kill_entry_vm});
        run_under_load(++seed, {&cut_domains, &freeze_entry_vm});
        run_under_load(++seed, {&store_down, &kill_entry_vm});
        run_under_load(++seed, {&late_claims, &freeze_entry_vm});
        run_under_load(++seed, {&lost_claim_replies, &kill_entry_vm});
        run_under_load(++seed, {&lost_rpc_replies, &freeze_entry_vm});
        run_under_load(++seed, {&backend_answers_lost, &kill_entry_vm});
    }

private:
    static deployment_plan plan()
    {
        deployment_plan out;
        out.domains = {{"north-a", "north", 3}, {"south-a", "south", 2}};
        out.proxied = true;
        return out;
    }

    static test_request order_request()
    {
        test_request out;
        out.method = "POST";
        out.target = "/orders/7";
        out.body = "amount=3";
        out.idempotent = false;
        out.deadline = seconds(3);
        return out;
    }

    static test_caller caller_of(deployment& system)
    {
        return {"caller", system.entry_addresses(), "checkdesk", client_block_of(0), 1};
    }

    static void stall_backends(deployment& system, int ms)
    {
        for (std::size_t it = 0; it < system.backends().size(); ++it) {
            system.set_backend(it, "fault", {{"kind", "stall"}, {"count", 1}, {"value", ms}});
        }
    }

    /// Index of the entry VM that an issued key names as its owner.
    static std::size_t owner_of(deployment& system, const std::string& key)
    {
        for (std::size_t it = 0; it < system.entry_vms().size(); ++it) {
            if (key.starts_with("k1-" + system.entry_vms()[it].rpc.to_string() + "-")) {
                return it;
            }
        }
        CPPUNIT_FAIL("no entry VM owns the key '" + key + "'");
        return 0;
    }

    static std::size_t execution_count(const deployment& system, const std::string& test_id)
    {
        execution_judge judge;
        judge.fetch_all_executions(system.backend_addresses());
        return judge.executions_of(test_id);
    }

    /// Sends the order with this key to all entry VMs except the owner until an attempt has the
    /// expected result.
    static void expect_result(deployment& system, test_caller& caller, std::size_t owner,
                              const std::string& key, attempt_outcome expected)
    {
        const bool ok = wait_until([&] {
            for (std::size_t it = 0; it < system.entry_vms().size(); ++it) {
                if (it != owner &&
                    caller.attempt(system.entry_vms()[it].http, order_request(), "order", key)
                            .result == expected) {
                    return true;
                }
            }
            return false;
        });
        const auto& last = caller.log().back();
        CPPUNIT_ASSERT_MESSAGE(std::string("expected ") + to_string(expected) + ", last result " +
                                   to_string(last.result) + " " + last.reason + "\n" +
                                   system.log_tails(),
                               ok);
    }

    static void expect_executions(const deployment& system, const test_caller& caller,
                                  std::size_t n, const std::vector<attempt_record>& other_log = {})
    {
        execution_judge judge;
        judge.fetch_all_executions(system.backend_addresses());
        judge.add_log(caller.log());
        judge.add_log(other_log);
        CPPUNIT_ASSERT_EQUAL(std::string(), judge.violations_text());
        CPPUNIT_ASSERT_EQUAL(n, judge.executions_of("order"));
    }

    /// Sends the order with new keys of another entry VM until it completes.
    static void expect_new_key_completes(deployment& system, test_caller& caller, std::size_t owner)
    {
        const auto other = (owner + 1) % system.entry_vms().size();
        const auto vm = system.entry_vms()[other].http;
        const bool ok = wait_until([&] {
            const auto found = send_lookup(vm, "checkdesk", client_block_of(0));
            return found && caller.attempt(vm, order_request(), caller.next_test_id(),
                                           found->key_prefix + ".1")
                                    .result == attempt_outcome::completed;
        });
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), ok);
    }

    /// Request whose caller waits only 1 s beyond the deadline, so that it retries at another entry
    /// VM while the fault lasts.
    static test_request short_slack_request(std::mt19937& random)
    {
        auto out = mixed_request(random);
        out.timeout_slack = seconds(1);
        return out;
    }

    static void run_under_load(std::uint32_t seed, const std::vector<const timed_fault*>& faults)
    {
        std::string name;
        for (const auto* it : faults) {
            name += (name.empty() ? "" : " + ") + it->name;
        }
        std::cout << "\n  seed " << seed << ": " << name << std::flush;
        const auto message = "seed " + std::to_string(seed) + ", " + name + "\n";

        deployment system(plan());
        system.start();
        caller_load load(system, 8, seed, short_slack_request);
        CPPUNIT_ASSERT_MESSAGE(message + system.log_tails(), load.wait_completed(50));

        std::mt19937 random(seed);
        // Distinct victims, so that a second fault does not undo the first.
        const auto first = random() % system.entry_vms().size();
        const auto victim = [&](std::size_t it) {
            return (first + it) % system.entry_vms().size();
        };
        for (std::size_t it = 0; it < faults.size(); ++it) {
            faults[it]->inject(system, victim(it));
            std::this_thread::sleep_for(milliseconds(random() % 1000));
        }
        std::this_thread::sleep_for(fault_duration);
        for (std::size_t it = 0; it < faults.size(); ++it) {
            faults[it]->clear(system, victim(it));
        }
        // Shows that requests are served again, and leaves time for late effects of the fault.
        CPPUNIT_ASSERT_MESSAGE(message + system.log_tails(), load.wait_completed(100));
        load.stop();

        execution_judge judge;
        judge.fetch_all_executions(system.backend_addresses());
        load.add_logs(judge);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message + system.log_tails(), std::string(),
                                     judge.violations_text());
        std::cout << ": " << judge.count_outcomes(attempt_outcome::completed) << " completed, "
                  << judge.count_outcomes(attempt_outcome::not_run) << " not run, "
                  << judge.count_outcomes(attempt_outcome::unknown) << " unknown, "
                  << judge.count_outcomes(attempt_outcome::connection_error) << " without answer"
                  << std::flush;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(at_most_once_test);

} // namespace toucan::test
