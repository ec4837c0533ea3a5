#include "simulated_network.h"

#include "toucan/base/log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <iostream>

namespace toucan::operations {

/// Guards against keys that run twice and against false outcomes when processes are killed, paused
/// or restarted and messages are lost or delayed.
class coordinator_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(coordinator_test);
    CPPUNIT_TEST(random_fault_schedules_keep_outcomes_true);
    CPPUNIT_TEST_SUITE_END();

public:
    void random_fault_schedules_keep_outcomes_true()
    {
        set_log_level("error");
        constexpr std::uint64_t first_seed = 1;
        constexpr std::uint64_t schedules = 5000;
        std::cout << fmt::format("\nschedules of seeds {} to {}\n", first_seed,
                                 first_seed + schedules - 1);
        simulated_network::totals total;
        for (auto seed = first_seed; seed < first_seed + schedules; ++seed) {
            simulated_network net(seed);
            const auto violation = net.run();
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {}", seed, violation), violation.empty());
            total.executions += net.results().executions;
            total.completed += net.results().completed;
            total.not_run += net.results().not_run;
            total.unknown += net.results().unknown;
        }
        std::cout << fmt::format("executions {}, completed {}, not run {}, unknown {}\n",
                                 total.executions, total.completed, total.not_run, total.unknown);
        // A simulation that executes nothing would pass every check above.
        CPPUNIT_ASSERT(total.completed > schedules);
        CPPUNIT_ASSERT(total.not_run > schedules / 2);
        CPPUNIT_ASSERT(total.unknown > schedules / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(coordinator_test);

} // namespace toucan::operations
