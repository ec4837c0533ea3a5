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

/// A backend server that is leaving receives no new work after a few seconds, whichever signal says
/// so, and no caller notices.
class leaving_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(leaving_test);
    CPPUNIT_TEST(list_says_leaving_and_health_says_ready);
    CPPUNIT_TEST(health_says_draining_and_list_says_nothing);
    CPPUNIT_TEST(steering_file_says_leaving);
    CPPUNIT_TEST(leaving_stays_when_the_list_forgets_it);
    CPPUNIT_TEST(leaving_stays_when_health_turns_to_ready);
    CPPUNIT_TEST(work_in_progress_finishes);
    CPPUNIT_TEST_SUITE_END();

public:
    void list_says_leaving_and_health_says_ready()
    {
        deployment system(plan());
        system.start();
        caller_load load(system, 6, 1, mixed_request);
        expect_used(system);
        system.set_backend(leaver, "settings", {{"lie_state", "ready"}});
        system.set_vm_list({system.backends()[leaver].address});
        expect_no_new_work(system);
        finish(system, load);
    }

    void health_says_draining_and_list_says_nothing()
    {
        deployment system(plan());
        system.start();
        caller_load load(system, 6, 2, mixed_request);
        expect_used(system);
        drain(system);
        expect_no_new_work(system);
        finish(system, load);
    }

    void steering_file_says_leaving()
    {
        deployment system(plan());
        system.start();
        caller_load load(system, 6, 3, mixed_request);
        expect_used(system);
        system.plan().services[0].leaving = {system.backends()[leaver].name};
        CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(system.publish()));
        expect_no_new_work(system);
        finish(system, load);
    }

    // Guards against work sent to a VM that is already half gone because a lagging list still has
    // its former state.
    void leaving_stays_when_the_list_forgets_it()
    {
        deployment system(plan());
        system.start();
        caller_load load(system, 6, 4, mixed_request);
        expect_used(system);
        system.set_vm_list({system.backends()[leaver].address});
        expect_no_new_work(system);
        system.set_vm_list();
        expect_no_new_work(system);
        finish(system, load);
    }

    void leaving_stays_when_health_turns_to_ready()
    {
        deployment system(plan());
        system.start();
        caller_load load(system, 6, 5, mixed_request);
        expect_used(system);
        drain(system);
        expect_no_new_work(system);
        system.set_backend(leaver, "settings", {{"lie_state", "ready"}});
        expect_no_new_work(system);
        finish(system, load);
    }

    void work_in_progress_finishes()
    {
        auto it = plan();
        it.services[0].service_ms = 500;
        deployment system(it);
        system.start();
        caller_load load(system, 6, 6, mixed_request);
        expect_used(system);
        drain(system);
        expect_no_new_work(system);
        CPPUNIT_ASSERT_EQUAL(0, usage(system)["in_use"].get<int>());
        CPPUNIT_ASSERT_EQUAL(0, usage(system)["cancelled"].get<int>());
        finish(system, load);
    }

private:
    static constexpr std::size_t leaver = 0;
    /// Work that arrives within this time would show that the leaving signal has no effect.
    static constexpr std::chrono::seconds quiet_time{3};

    static deployment_plan plan()
    {
        deployment_plan out;
        out.services[0].backends_per_domain = 3;
        return out;
    }
    static nlohmann::json usage(const deployment& system)
    {
        const auto it = get_json(system.backends()[leaver].address, "/control/usage");
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
        // Work that arrives during the grace time still runs.
        system.set_backend(leaver, "drain", {{"draining", true}, {"grace_ms", 600'000}});
    }
    /// Without work before, no work later shows nothing.
    static void expect_used(const deployment& system)
    {
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(),
                               wait_until([&] { return arrivals(system) > 20; }));
    }
    static void expect_no_new_work(const deployment& system)
    {
        const auto start = std::chrono::steady_clock::now();
        auto last_change = start;
        auto seen = arrivals(system);
        const bool quiet = wait_until([&] {
            const auto now = std::chrono::steady_clock::now();
            if (const auto n = arrivals(system); n != seen) {
                seen = n;
                last_change = now;
            }
            return now - last_change >= quiet_time;
        });
        CPPUNIT_ASSERT_MESSAGE("new work keeps arriving\n" + system.log_tails(), quiet);
        const auto took =
            std::chrono::duration_cast<std::chrono::milliseconds>(last_change - start);
        std::cout << "\n  last new work after " << took.count() << " ms" << std::flush;
    }
    static void finish(const deployment& system, caller_load& load)
    {
        // The others still serve.
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), load.wait_completed(50));
        load.stop();
        execution_judge judge;
        judge.collect_all(system.backend_addresses());
        load.add_logs(judge);
        CPPUNIT_ASSERT_EQUAL(std::string(), judge.verdict());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, judge.count(told::unknown));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, judge.count(told::connection_error));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_test);

} // namespace toucan::test
