#include "support/caller_load.h"
#include "support/deployment.h"
#include "support/execution_judge.h"
#include "support/http.h"
#include "support/wait_until.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <iostream>
#include <thread>

namespace toucan::test {

/// A leaving backend server receives no new requests after a few seconds, whichever signal
/// announces it, and no caller receives an error.
class leaving_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(leaving_test);
    CPPUNIT_TEST(vm_list_reports_leaving_while_health_reports_ready);
    CPPUNIT_TEST(health_reports_draining_without_the_vm_list);
    CPPUNIT_TEST(steering_file_marks_leaving);
    CPPUNIT_TEST(leaving_persists_when_the_vm_list_drops_it);
    CPPUNIT_TEST(leaving_persists_when_health_reports_ready);
    CPPUNIT_TEST(requests_in_progress_complete);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a health report of "ready" that overrides the VM list.
    void vm_list_reports_leaving_while_health_reports_ready()
    {
        deployment system(plan());
        system.start();
        caller_load load(system, 6, 1, mixed_request);
        expect_requests(system);
        system.set_backend(leaving_index, "settings", {{"lie_state", "ready"}});
        system.set_vm_list({system.backends()[leaving_index].address});
        expect_no_new_requests(system);
        stop_and_check_load(system, load);
    }

    // Guards against daemons that ignore a health report of "draining" until the VM list confirms
    // it.
    void health_reports_draining_without_the_vm_list()
    {
        deployment system(plan());
        system.start();
        caller_load load(system, 6, 2, mixed_request);
        expect_requests(system);
        drain(system);
        expect_no_new_requests(system);
        stop_and_check_load(system, load);
    }

    // Guards against a mark in the steering file that has no effect.
    void steering_file_marks_leaving()
    {
        deployment system(plan());
        system.start();
        caller_load load(system, 6, 3, mixed_request);
        expect_requests(system);
        system.plan().services[0].leaving = {system.backends()[leaving_index].name};
        CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(system.publish()));
        expect_no_new_requests(system);
        stop_and_check_load(system, load);
    }

    // Guards against requests to a backend server that is already shutting down, because a lagging
    // VM list no longer marks it as leaving.
    void leaving_persists_when_the_vm_list_drops_it()
    {
        deployment system(plan());
        system.start();
        caller_load load(system, 6, 4, mixed_request);
        expect_requests(system);
        system.set_vm_list({system.backends()[leaving_index].address});
        expect_no_new_requests(system);
        system.set_vm_list();
        expect_no_new_requests(system);
        stop_and_check_load(system, load);
    }

    // Guards against new requests to a draining backend server whose health endpoint reports
    // "ready" again.
    void leaving_persists_when_health_reports_ready()
    {
        deployment system(plan());
        system.start();
        caller_load load(system, 6, 5, mixed_request);
        expect_requests(system);
        drain(system);
        expect_no_new_requests(system);
        system.set_backend(leaving_index, "settings", {{"lie_state", "ready"}});
        expect_no_new_requests(system);
        stop_and_check_load(system, load);
    }

    // Guards against the cancellation of requests that are in progress when the drain begins.
    void requests_in_progress_complete()
    {
        auto it = plan();
        it.services[0].service_ms = 500;
        deployment system(it);
        system.start();
        caller_load load(system, 6, 6, mixed_request);
        expect_requests(system);
        drain(system);
        expect_no_new_requests(system);
        CPPUNIT_ASSERT_EQUAL(0, usage(system)["in_use"].get<int>());
        CPPUNIT_ASSERT_EQUAL(0, usage(system)["cancelled"].get<int>());
        stop_and_check_load(system, load);
    }

private:
    static constexpr std::size_t leaving_index = 0;
    /// Time without a new request after which the leaving signal counts as effective.
    static constexpr std::chrono::seconds quiet_period{3};

    static deployment_plan plan()
    {
        deployment_plan out;
        out.services[0].backends_per_domain = 3;
        return out;
    }
    static nlohmann::json usage(const deployment& system)
    {
        const auto it = get_json(system.backends()[leaving_index].address, "/control/usage");
        CPPUNIT_ASSERT(it);
        return *it;
    }
    static std::size_t arrivals(const deployment& system)
    {
        std::size_t n = 0;
        const auto it = usage(system);
        for (const auto& bucket : it["arrivals"]) {
            n += bucket["count"].get<std::size_t>();
        }
        return n;
    }
    static void drain(deployment& system)
    {
        // The grace time outlasts the test, so requests that still arrive are executed instead of
        // shed.
        system.set_backend(leaving_index, "drain", {{"draining", true}, {"grace_ms", 600'000}});
    }
    /// Checks that the backend server receives requests before it leaves; the absence of requests
    /// afterwards would show nothing otherwise.
    static void expect_requests(const deployment& system)
    {
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(),
                               wait_until([&] { return arrivals(system) > 20; }));
    }
    static void expect_no_new_requests(const deployment& system)
    {
        const auto start = std::chrono::steady_clock::now();
        auto last_change = start;
        auto last_count = arrivals(system);
        const bool quiet = wait_until([&] {
            const auto now = std::chrono::steady_clock::now();
            if (const auto n = arrivals(system); n != last_count) {
                last_count = n;
                last_change = now;
            }
            return now - last_change >= quiet_period;
        });
        CPPUNIT_ASSERT_MESSAGE("new requests keep arriving at the leaving backend server\n" +
                                   system.log_tails(),
                               quiet);
        const auto took =
            std::chrono::duration_cast<std::chrono::milliseconds>(last_change - start);
        std::cout << "\n  last new request after " << took.count() << " ms" << std::flush;
    }
    static void stop_and_check_load(const deployment& system, caller_load& load)
    {
        // The other backend servers still serve requests.
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(50));
        load.stop();
        execution_judge judge;
        judge.fetch_all_executions(system.backend_addresses());
        load.add_logs(judge);
        CPPUNIT_ASSERT_EQUAL(std::string(), judge.violations_text());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, judge.count_outcomes(attempt_outcome::unknown));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             judge.count_outcomes(attempt_outcome::connection_error));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_test);

} // namespace toucan::test
