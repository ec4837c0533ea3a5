#include "support/caller_load.h"
#include "support/deployment.h"
#include "support/execution_judge.h"
#include "support/test_caller.h"
#include "support/wait_until.h"

#include <cppunit/extensions/HelperMacros.h>

namespace toucan::test {

/// An attempt that is refused as "not run" was not executed, and the refusal names a time and other
/// entry VMs for a retry.
class not_run_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(not_run_test);
    CPPUNIT_TEST(overload_refusals_are_not_executed);
    CPPUNIT_TEST(shed_requests_are_reported_as_not_run);
    CPPUNIT_TEST(deadline_that_cannot_be_met_is_not_run);
    CPPUNIT_TEST(requests_for_dead_backend_servers_are_not_run);
    CPPUNIT_TEST(caller_chosen_keys_are_refused_during_a_store_outage);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against false refusals under overload: each failure domain has a single slot.
    void overload_refusals_are_not_executed()
    {
        auto it = plan();
        it.services[0].slots = 1;
        it.services[0].backends_per_domain = 1;
        it.services[0].service_ms = 200;
        deployment system(it);
        system.start();
        caller_load load(system, 24, 1, short_request);
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(50));
        load.stop();
        const auto judge = judge_of(system, load);
        CPPUNIT_ASSERT_EQUAL(std::string(), judge.violations_text());
        // Without refusals, the check above would show nothing.
        CPPUNIT_ASSERT(judge.count_outcomes(attempt_outcome::not_run) > 0);
    }

    // Each backend server sheds requests, because it has fewer slots than the steering files and
    // its load reports state.
    void shed_requests_are_reported_as_not_run()
    {
        auto it = plan();
        it.services[0].service_ms = 100;
        deployment system(it);
        system.start();
        for (std::size_t n = 0; n < system.backends().size(); ++n) {
            system.set_backend(n, "settings", {{"slots", 1}, {"lie_in_use", 0}});
        }
        caller_load load(system, 24, 2, short_request);
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(50));
        load.stop();
        const auto judge = judge_of(system, load);
        CPPUNIT_ASSERT_EQUAL(std::string(), judge.violations_text());
        CPPUNIT_ASSERT(judge.count_outcomes(attempt_outcome::not_run) > 0);
    }

    // Guards against the execution of a request whose deadline of 300 ms is shorter than the
    // service time of 1 s.
    void deadline_that_cannot_be_met_is_not_run()
    {
        auto it = plan();
        it.services[0].service_ms = 1000;
        deployment system(it);
        system.start();
        auto caller = caller_of(system);
        auto request = order_request();
        request.deadline = std::chrono::milliseconds(300);
        const auto answer =
            caller.attempt(system.entry_addresses().front(), request, "order", caller.next_key());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.reason, std::string("not-run"),
                                     std::string(to_string(answer.result)));
        expect_refusal(system, caller, answer);
    }

    // Guards against an unknown outcome of a request that no backend server can have received.
    void requests_for_dead_backend_servers_are_not_run()
    {
        deployment system(plan());
        system.start();
        for (std::size_t it = 0; it < system.backends().size(); ++it) {
            system.backend_process(it).kill();
        }
        auto caller = caller_of(system);
        const auto answer = caller.attempt(system.entry_addresses().front(), order_request(),
                                           "order", caller.next_key());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.reason, std::string("not-run"),
                                     std::string(to_string(answer.result)));
        CPPUNIT_ASSERT(!answer.retry_after.empty());
        CPPUNIT_ASSERT(!answer.other_entry_vms.empty());
    }

    // Guards against the execution of an order whose caller-chosen key cannot be claimed in the
    // store. Issued keys need no claim and work during the outage.
    void caller_chosen_keys_are_refused_during_a_store_outage()
    {
        deployment system(plan());
        system.start();
        system.set_platform_faults({{"outage", true}});
        auto caller = caller_of(system);
        const auto vm = system.entry_addresses().front();
        const auto refused =
            caller.attempt(vm, order_request(), "order", caller_chosen_key("outage"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.reason, std::string("not-run"),
                                     std::string(to_string(refused.result)));
        CPPUNIT_ASSERT_MESSAGE(refused.reason,
                               refused.reason.find("issued key") != std::string::npos);
        const auto run = caller.attempt(vm, order_request(), "issued", caller.next_key());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(run.reason, std::string("completed"),
                                     std::string(to_string(run.result)));
        expect_refusal(system, caller, refused);
    }

private:
    static deployment_plan plan() { return {}; }

    static test_request order_request()
    {
        test_request out;
        out.method = "POST";
        out.target = "/orders/1";
        out.idempotent = false;
        return out;
    }
    static test_request short_request(std::mt19937& random)
    {
        auto out = mixed_request(random);
        out.deadline = std::chrono::milliseconds(600);
        return out;
    }
    static test_caller caller_of(deployment& system)
    {
        return {"caller", system.entry_addresses(), "checkdesk", client_block_of(0), 1};
    }
    static execution_judge judge_of(const deployment& system, const caller_load& load)
    {
        execution_judge out;
        out.fetch_all_executions(system.backend_addresses());
        load.add_logs(out);
        return out;
    }
    static void expect_refusal(const deployment& system, const test_caller& caller,
                               const attempt_record& refused)
    {
        execution_judge judge;
        judge.fetch_all_executions(system.backend_addresses());
        judge.add_log(caller.log());
        CPPUNIT_ASSERT_EQUAL(std::string(), judge.violations_text());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, judge.executions_of(refused.test_id));
        CPPUNIT_ASSERT(!refused.retry_after.empty());
        CPPUNIT_ASSERT(!refused.other_entry_vms.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(not_run_test);

} // namespace toucan::test
