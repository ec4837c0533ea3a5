#include "support/caller_load.h"
#include "support/deployment.h"
#include "support/execution_judge.h"
#include "support/test_caller.h"
#include "support/wait_until.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <iostream>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace toucan::test {

/// Every caller receives the whole answer to its own request.
class whole_answer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(whole_answer_test);
    CPPUNIT_TEST(truncated_answer_is_never_completed);
    CPPUNIT_TEST(truncated_answer_of_an_order_is_unknown);
    CPPUNIT_TEST(broken_answer_is_unknown);
    CPPUNIT_TEST(late_answers_do_not_reach_other_callers);
    CPPUNIT_TEST(answers_out_of_order_between_daemons);
    CPPUNIT_TEST(answers_cut_between_daemons);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a truncated response of a backend server that its caller receives as
    // completed.
    void truncated_answer_is_never_completed()
    {
        deployment system({});
        system.start();
        set_backend_faults(system, {{"kind", "truncate"}, {"count", 1'000'000}, {"value", 1000}});
        auto caller = caller_of(system);
        test_request request;
        request.response_bytes = 50'000;
        for (int it = 0; it < 10; ++it) {
            const auto answer = caller.attempt(system.entry_addresses().front(), request,
                                               caller.next_test_id(), "");
            CPPUNIT_ASSERT_MESSAGE(to_string(answer.result),
                                   answer.result != attempt_outcome::completed);
        }
        set_backend_faults(system, {{"kind", "none"}, {"count", 0}});
        CPPUNIT_ASSERT(wait_until([&] {
            const auto it = caller.attempt(system.entry_addresses().front(), request,
                                           caller.next_test_id(), "");
            return it.result == attempt_outcome::completed;
        }));
        expect_no_violation(system, caller);
    }

    // Guards against a "not run" outcome of an order that ran but whose response was truncated: its
    // caller would send it again.
    void truncated_answer_of_an_order_is_unknown()
    {
        deployment system({});
        system.start();
        set_backend_faults(system, {{"kind", "truncate"}, {"count", 1'000'000}, {"value", 10}});
        auto caller = caller_of(system);
        test_request request;
        request.method = "POST";
        request.target = "/orders/1";
        request.idempotent = false;
        const auto key = caller.next_key();
        // All attempts belong to the same operation.
        for (const auto& vm : system.entry_addresses()) {
            const auto it = caller.attempt(vm, request, "order", key);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.reason, std::string("unknown"),
                                         std::string(to_string(it.result)));
        }
        expect_no_violation(system, caller);
    }

    // Guards against an answer that is not valid HTTP, with the status 000 or with a blank or
    // control byte in the name of a header, that reaches the caller of an order, and against a "not
    // run" outcome after it.
    void broken_answer_is_unknown()
    {
        constexpr int blank = 32;
        deployment system({});
        system.start();
        auto caller = caller_of(system);
        test_request request;
        request.method = "POST";
        request.target = "/orders/1";
        request.idempotent = false;
        for (const auto& [kind, value] :
             std::vector<std::pair<const char*, int>>{{"invalid_status", 0},
                                                      {"invalid_status", 999},
                                                      {"invalid_name", blank},
                                                      {"invalid_name", 1}}) {
            set_backend_faults(system, {{"kind", kind}, {"count", 1'000'000}, {"value", value}});
            const auto key = caller.next_key();
            for (const auto& vm : system.entry_addresses()) {
                const auto it = caller.attempt(vm, request, fmt::format("{}-{}", kind, value), key);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} {}: {}", kind, value, it.reason),
                                             std::string("unknown"),
                                             std::string(to_string(it.result)));
            }
        }
        expect_no_violation(system, caller);
    }

    // Guards against a connection that is reused while a late response is outstanding: the next
    // caller would receive that response.
    void late_answers_do_not_reach_other_callers()
    {
        deployment_plan plan;
        plan.services[0].slots = 16;
        deployment system(plan);
        system.start();
        caller_load load(system, 12, 1, request_with_short_deadline);
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(50));
        std::cout << "\n  seed 1";
        std::mt19937 random(1);
        for (int it = 0; it < 10; ++it) {
            // Stalls close to the deadline, so that responses arrive just before it and just after
            // it.
            set_backend_faults(system,
                               {{"kind", "stall"}, {"count", 6}, {"value", 450 + random() % 300}});
            std::this_thread::sleep_for(std::chrono::milliseconds(400));
        }
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(50));
        expect_no_violation(system, load);
    }

    // Guards against responses that reach the wrong caller because they arrive in another order
    // than the requests were sent.
    void answers_out_of_order_between_daemons()
    {
        deployment system(proxied_plan());
        system.start();
        for (std::size_t from = 0; from < system.entry_vms().size(); ++from) {
            for (std::size_t to = 0; to < system.entry_vms().size(); ++to) {
                if (from != to) {
                    system.set_route(from, to,
                                     {{"jitter_ms", 100}, {"delay_back_ms", 20 * (to + 1)}});
                }
            }
        }
        caller_load load(system, 12, 2, mixed_request);
        std::cout << "\n  seed 2";
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(300));
        expect_no_violation(system, load);
    }

    // Guards against a response that is truncated between two daemons, after 30 to 150 kB of a body
    // of 200 kB, and is received as completed.
    void answers_cut_between_daemons()
    {
        deployment system(proxied_plan());
        system.start();
        caller_load load(system, 8, 3, large_request);
        std::cout << "\n  seed 3";
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(20));
        for (int it = 0; it < 5; ++it) {
            set_domain_routes(system, {{"truncate_after", 30'000 * (it + 1)}});
            std::this_thread::sleep_for(std::chrono::seconds(1));
        }
        set_domain_routes(system, {{"truncate_after", -1}});
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(50));
        expect_no_violation(system, load);
    }

private:
    static deployment_plan proxied_plan()
    {
        deployment_plan out;
        out.domains = {{"north-a", "north", 3}, {"south-a", "south", 2}};
        out.proxied = true;
        return out;
    }
    static void set_backend_faults(deployment& system, const nlohmann::json& fault)
    {
        for (std::size_t it = 0; it < system.backends().size(); ++it) {
            system.set_backend(it, "fault", fault);
        }
    }
    /// Sets faults on the routes between the daemons of the first failure domain, where most
    /// requests are forwarded.
    static void set_domain_routes(deployment& system, const nlohmann::json& faults)
    {
        const auto members = system.entry_vms_of("north-a");
        for (const auto from : members) {
            for (const auto to : members) {
                if (from != to) {
                    system.set_route(from, to, faults);
                }
            }
        }
    }
    static test_request request_with_short_deadline(std::mt19937& random)
    {
        auto out = mixed_request(random);
        out.deadline = std::chrono::milliseconds(600);
        return out;
    }
    static test_request large_request(std::mt19937& random)
    {
        auto out = mixed_request(random);
        out.response_bytes = 200'000;
        return out;
    }
    static test_caller caller_of(deployment& system)
    {
        return {"caller", system.entry_addresses(), "checkdesk", client_block_of(0), 1};
    }
    static void expect_no_violation(const deployment& system, const test_caller& caller)
    {
        execution_judge judge;
        judge.fetch_all_executions(system.backend_addresses());
        judge.add_log(caller.log());
        CPPUNIT_ASSERT_EQUAL(std::string(), judge.violations_text());
    }
    static void expect_no_violation(const deployment& system, caller_load& load)
    {
        load.stop();
        execution_judge judge;
        judge.fetch_all_executions(system.backend_addresses());
        load.add_logs(judge);
        CPPUNIT_ASSERT_EQUAL(std::string(), judge.violations_text());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(whole_answer_test);

} // namespace toucan::test
