#include "support/caller_load.h"
#include "support/deployment.h"
#include "support/execution_judge.h"
#include "support/test_caller.h"
#include "support/wait_until.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace toucan::test {

/// A planned stop of a daemon leaves no request without a response.
class graceful_stop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(graceful_stop_test);
    CPPUNIT_TEST(stop_under_load_loses_no_request);
    CPPUNIT_TEST(rolling_restart_loses_no_request);
    CPPUNIT_TEST(second_signal_does_not_shorten_the_stop);
    CPPUNIT_TEST(new_requests_are_refused_unexecuted_while_stopping);
    CPPUNIT_TEST(drain_limit_ends_a_stop);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that end with a connection error or an unknown outcome because one
    // daemon stops.
    void stop_under_load_loses_no_request()
    {
        deployment system(plan());
        system.start();
        caller_load load(system, 8, 1, mixed_request);
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(50));
        stop_daemon(system, 0);
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(50));
        stop_and_check_load(system, load);
    }

    // Guards against lost requests while all daemons are restarted one after the other.
    void rolling_restart_loses_no_request()
    {
        deployment system(plan());
        system.start();
        caller_load load(system, 8, 2, mixed_request);
        for (std::size_t it = 0; it < system.entry_vms().size(); ++it) {
            CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(50));
            stop_daemon(system, it);
            system.start_daemon(it);
            CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_ready({it}));
        }
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(50));
        stop_and_check_load(system, load);
    }

    // Guards against a second SIGTERM that ends the process before the request in progress
    // completes.
    void second_signal_does_not_shorten_the_stop()
    {
        deployment system(plan());
        system.start();
        auto answer = slow_order(system, 5000);
        auto& process = *system.entry_vms()[0].process;
        process.terminate();
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        process.terminate();
        const auto it = answer.get();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.reason + "\n" + system.log_tails(),
                                     std::string("completed"), std::string(to_string(it.result)));
        CPPUNIT_ASSERT(it.body_matches);
        CPPUNIT_ASSERT(process.wait_exit(wait_deadline) == 0);
    }

    // Guards against the execution of requests that a stopping daemon refuses, and against a
    // refusal that names the stopping entry VM for the retry.
    void new_requests_are_refused_unexecuted_while_stopping()
    {
        deployment system(plan());
        system.start();
        auto answer = slow_order(system, 8000);
        system.entry_vms()[0].process->terminate();
        test_caller caller("late", system.entry_addresses(), "checkdesk", client_block_of(0), 1);
        const bool refused = wait_until([&] {
            const auto it =
                caller.attempt(system.entry_vms()[0].http, {}, caller.next_test_id(), "");
            return it.result == attempt_outcome::not_run;
        });
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), refused);
        CPPUNIT_ASSERT(!caller.log().back().other_entry_vms.empty());
        CPPUNIT_ASSERT_EQUAL(std::string::npos, caller.log().back().other_entry_vms.find(
                                                    system.entry_vms()[0].http.to_string()));
        CPPUNIT_ASSERT_EQUAL(std::string("completed"), std::string(to_string(answer.get().result)));
        CPPUNIT_ASSERT(system.entry_vms()[0].process->wait_exit(wait_deadline) == 0);
        execution_judge judge;
        judge.fetch_all_executions(system.backend_addresses());
        judge.add_log(caller.log());
        CPPUNIT_ASSERT_EQUAL(std::string(), judge.violations_text());
    }

    // Guards against an entry VM that cannot be replaced because a hanging request delays its stop
    // without limit.
    void drain_limit_ends_a_stop()
    {
        auto it = plan();
        it.drain_limit_s = 3;
        deployment system(it);
        system.start();
        auto answer = slow_order(system, 60'000);
        auto& process = *system.entry_vms()[0].process;
        process.terminate();
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), process.wait_exit(wait_deadline).has_value());
        CPPUNIT_ASSERT(answer.get().result != attempt_outcome::not_run);
    }

private:
    static deployment_plan plan()
    {
        deployment_plan out;
        out.domains = {{"north-a", "north", 3}, {"south-a", "south", 2}};
        return out;
    }

    /// Starts an order at the first entry VM and returns when a backend server executes it.
    /// @param ms time after which the backend server answers.
    static std::future<attempt_record> slow_order(deployment& system, int ms)
    {
        for (std::size_t it = 0; it < system.backends().size(); ++it) {
            system.set_backend(
                it, "fault",
                {{"kind", "stall"}, {"count", 1}, {"value", ms}, {"path_prefix", "/orders"}});
        }
        auto out = std::async(std::launch::async, [&system] {
            test_caller caller("slow", {system.entry_vms()[0].http}, "checkdesk",
                               client_block_of(0), 1);
            test_request request;
            request.method = "POST";
            request.target = "/orders/1";
            request.idempotent = false;
            request.deadline = std::chrono::seconds(20);
            return caller.attempt(system.entry_vms()[0].http, request, "slow", caller.next_key());
        });
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), wait_until([&system] {
                                   execution_judge judge;
                                   judge.fetch_all_executions(system.backend_addresses());
                                   return judge.executions_of("slow") == 1;
                               }));
        return out;
    }
    static void stop_daemon(deployment& system, std::size_t index)
    {
        auto& process = *system.entry_vms()[index].process;
        process.terminate();
        const auto status = process.wait_exit(wait_deadline);
        CPPUNIT_ASSERT_MESSAGE("the daemon did not exit after SIGTERM\n" + system.log_tails(),
                               status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(system.log_tails(), 0, *status);
    }
    static void stop_and_check_load(const deployment& system, caller_load& load)
    {
        load.stop();
        execution_judge judge;
        judge.fetch_all_executions(system.backend_addresses());
        load.add_logs(judge);
        CPPUNIT_ASSERT_EQUAL(std::string(), judge.violations_text());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             judge.count_outcomes(attempt_outcome::connection_error));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, judge.count_outcomes(attempt_outcome::unknown));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(graceful_stop_test);

} // namespace toucan::test
