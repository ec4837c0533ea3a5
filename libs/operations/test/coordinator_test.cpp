#include "simulated_network.h"

#include "toucan/base/log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <iostream>

namespace toucan::operations {

/// Guards against double execution and false answers under combined faults.
class coordinator_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(coordinator_test);
    CPPUNIT_TEST(random_schedules_keep_the_promises);
    CPPUNIT_TEST_SUITE_END();

public:
    void random_schedules_keep_the_promises()
    {
        set_log_level("error");
        constexpr std::uint64_t first_seed = 1;
        constexpr std::uint64_t schedules = 5000;
        std::cout << fmt::format("\nschedules of seeds {} to {}\n", first_seed,
                                 first_seed + schedules - 1);
        simulated_network::totals sum;
        for (auto seed = first_seed; seed < first_seed + schedules; ++seed) {
            simulated_network net(seed);
            const auto fault = net.run();
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {}", seed, fault), fault.empty());
            sum.executions += net.results().executions;
            sum.completed += net.results().completed;
            sum.not_run += net.results().not_run;
            sum.unknown += net.results().unknown;
        }
        std::cout << fmt::format("executions {}, completed {}, not run {}, unknown {}\n",
                                 sum.executions, sum.completed, sum.not_run, sum.unknown);
        // A simulation in which nothing runs would pass every check.
        CPPUNIT_ASSERT(sum.completed > schedules);
        CPPUNIT_ASSERT(sum.not_run > schedules / 2);
        CPPUNIT_ASSERT(sum.unknown > schedules / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(coordinator_test);

} // namespace toucan::operations
