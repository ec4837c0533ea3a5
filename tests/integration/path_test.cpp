#include "support/caller_load.h"
#include "support/deployment.h"
#include "support/execution_judge.h"
#include "support/http.h"
#include "support/test_caller.h"

#include <cppunit/extensions/HelperMacros.h>

namespace toucan::test {

/// End-to-end path through separate processes: publication, lookup and call.
class path_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(path_test);
    CPPUNIT_TEST(lookup_names_ready_entry_vms);
    CPPUNIT_TEST(calls_complete_through_every_entry_vm);
    CPPUNIT_TEST(repeated_key_returns_the_first_answer);
    CPPUNIT_TEST(caller_chosen_key_runs_once);
    CPPUNIT_TEST(missing_key_is_a_bad_request);
    CPPUNIT_TEST(bad_steering_files_are_refused);
    CPPUNIT_TEST(concurrent_callers_receive_their_own_answers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a lookup that returns unknown entry VMs, a wrong version, no lifetime or no
    // key prefix.
    void lookup_names_ready_entry_vms()
    {
        deployment system({});
        system.start();
        const auto known = system.entry_addresses();
        for (std::size_t it = 0; it < system.plan().domains.size(); ++it) {
            const auto found = send_lookup(known.front(), "checkdesk", client_block_of(it));
            CPPUNIT_ASSERT(found);
            CPPUNIT_ASSERT(found->entry_vms.size() >= 2);
            CPPUNIT_ASSERT(found->lifetime.count() > 0);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, found->version);
            CPPUNIT_ASSERT_MESSAGE(found->key_prefix, found->key_prefix.starts_with("k1-"));
            for (const auto& vm : found->entry_vms) {
                CPPUNIT_ASSERT(std::find(known.begin(), known.end(), vm) != known.end());
            }
        }
    }

    // Guards against an entry VM that does not serve calls: each one has to complete an idempotent
    // request and an order.
    void calls_complete_through_every_entry_vm()
    {
        deployment system({});
        system.start();
        auto caller = caller_of(system);
        for (const auto& vm : system.entry_addresses()) {
            const auto read = caller.attempt(vm, {}, caller.next_test_id(), "");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(read.reason, std::string("completed"),
                                         std::string(to_string(read.result)));
            const auto order =
                caller.attempt(vm, order_request(), caller.next_test_id(), caller.next_key());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(order.reason, std::string("completed"),
                                         std::string(to_string(order.result)));
        }
        expect_no_violation(system, caller);
    }

    // Guards against a second execution of an order that its caller repeats because it did not
    // receive the response.
    void repeated_key_returns_the_first_answer()
    {
        deployment system({});
        system.start();
        auto caller = caller_of(system);
        const auto key = caller.next_key();
        for (const auto& vm : system.entry_addresses()) {
            const auto it = caller.attempt(vm, order_request(), "order", key);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.reason, std::string("completed"),
                                         std::string(to_string(it.result)));
        }
        expect_no_violation(system, caller);
    }

    // Guards against a second execution of an order that is sent with the same caller-chosen key
    // through several entry VMs.
    void caller_chosen_key_runs_once()
    {
        deployment system({});
        system.start();
        auto caller = caller_of(system);
        const auto key = caller_chosen_key("path");
        for (const auto& vm : system.entry_addresses()) {
            const auto it = caller.attempt(vm, order_request(), "order", key);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.reason, std::string("completed"),
                                         std::string(to_string(it.result)));
        }
        expect_no_violation(system, caller);
    }

    // Guards against the execution of an order without an operation key: it could not be retried
    // safely.
    void missing_key_is_a_bad_request()
    {
        deployment system({});
        system.start();
        auto caller = caller_of(system);
        const auto it = caller.attempt(system.entry_addresses().front(), order_request(), "o", "");
        CPPUNIT_ASSERT_EQUAL(400, it.status);
        execution_judge judge;
        judge.fetch_all_executions(system.backend_addresses());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, judge.executions_of("o"));
    }

    // Guards against the publication of invalid steering files, here with a headroom of 5, and
    // against a version number that the refused publication consumes.
    void bad_steering_files_are_refused()
    {
        deployment system({});
        system.start();
        system.plan().services.front().headroom = 5;
        CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(system.publish()));
        system.plan().services.front().headroom = 0.8;
        CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(system.publish()));
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_version(2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, system.version_at(0));
    }

    // Guards against responses that reach another caller, and against second executions, under
    // concurrent calls.
    void concurrent_callers_receive_their_own_answers()
    {
        deployment system({});
        system.start();
        caller_load load(system, 8, 1, mixed_request);
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(500));
        load.stop();
        execution_judge judge;
        judge.fetch_all_executions(system.backend_addresses());
        load.add_logs(judge);
        CPPUNIT_ASSERT_EQUAL(std::string(), judge.violations_text());
    }

private:
    static test_caller caller_of(deployment& system)
    {
        return {"path", system.entry_addresses(), "checkdesk", client_block_of(0), 1};
    }
    static test_request order_request()
    {
        test_request out;
        out.method = "POST";
        out.target = "/orders/7?x=1";
        out.body = std::string(100'000, 'b');
        out.response_bytes = 300'000;
        out.idempotent = false;
        return out;
    }
    static void expect_no_violation(const deployment& system, const test_caller& caller)
    {
        execution_judge judge;
        judge.fetch_all_executions(system.backend_addresses());
        judge.add_log(caller.log());
        CPPUNIT_ASSERT_EQUAL(std::string(), judge.violations_text());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(path_test);

} // namespace toucan::test
