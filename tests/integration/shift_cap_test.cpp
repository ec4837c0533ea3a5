#include "support/caller_load.h"
#include "support/deployment.h"
#include "support/http.h"
#include "support/wait_until.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>

namespace toucan::test {
namespace {

constexpr std::int64_t interval_us = 1'000'000;
/// Allowed growth per interval: rate 200/s x share 0.1 x interval 1 s.
constexpr std::size_t cap = 20;
constexpr std::size_t callers = 32;

test_request stock_check(std::mt19937& random)
{
    test_request out;
    out.target = fmt::format("/stock/{}", random() % 1000);
    return out;
}

} // namespace

/// Traffic that is served outside the region of its client blocks grows by at most the shift cap
/// per interval.
class shift_cap_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shift_cap_test);
    CPPUNIT_TEST(lost_backend_servers_shift_traffic_within_the_cap);
    CPPUNIT_TEST(partition_does_not_raise_the_cap);
    CPPUNIT_TEST(check_reports_a_violation_without_the_cap);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a region whose cold caches receive all the traffic of a lost region at once.
    void lost_backend_servers_shift_traffic_within_the_cap()
    {
        deployment system(plan());
        system.start();
        auto load = start_load(system, 11);
        kill_north_backends(system);
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), wait_for_shifted(system, 15 * cap));
        load->stop();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(system.log_tails(), std::string(), violations(system));
    }

    // Guards against an allowance that accumulates or is granted twice while a partition separates
    // the daemons.
    void partition_does_not_raise_the_cap()
    {
        auto it = plan();
        it.proxied = true;
        deployment system(it);
        system.start();
        auto load = start_load(system, 12);
        kill_north_backends(system);
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), wait_for_shifted(system, 3 * cap));
        system.set_link("north-a", "south-a", {{"cut", true}});
        // Longer than the lifetime of credit and several intervals.
        std::this_thread::sleep_for(std::chrono::seconds(4));
        const auto before = shifted_total(system);
        system.set_link("north-a", "south-a", {{"cut", false}});
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), wait_for_shifted(system, before + 3 * cap));
        load->stop();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(system.log_tails(), std::string(), violations(system));
    }

    // Guards against a check that accepts any growth: it has to report a deployment without the
    // cap.
    void check_reports_a_violation_without_the_cap()
    {
        auto it = plan();
        it.disabled = {"shift_cap"};
        deployment system(it);
        system.start();
        auto load = start_load(system, 13);
        kill_north_backends(system);
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), wait_for_shifted(system, 10 * cap));
        load->stop();
        CPPUNIT_ASSERT(!violations(system).empty());
    }

private:
    static deployment_plan plan()
    {
        deployment_plan out;
        out.services.front().shift_share = 0.1;
        out.services.front().shift_interval_s = 1;
        return out;
    }

    /// Starts the callers and returns when the load has reached its full level.
    static std::unique_ptr<caller_load> start_load(deployment& system, std::uint32_t seed)
    {
        std::cout << "seed " << seed << '\n';
        auto out = std::make_unique<caller_load>(system, callers, seed, stock_check);
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), out->wait_completed(500));
        return out;
    }

    static void kill_north_backends(deployment& system)
    {
        for (std::size_t it = 0; it < system.backends().size(); ++it) {
            if (system.backends()[it].failure_domain == "north-a") {
                system.backend_process(it).kill();
            }
        }
    }

    /// Executions of north client blocks at south backend servers, by interval of the wall clock.
    static std::map<std::int64_t, std::size_t> shifted_per_interval(deployment& system)
    {
        using std::chrono::duration_cast;
        using std::chrono::microseconds;
        // Daemons number the intervals by wall time, and stand-ins record monotonic time.
        const auto offset_us =
            duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count() -
            duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch())
                .count();
        std::map<std::int64_t, std::size_t> out;
        for (const auto& vm : system.backends()) {
            if (vm.failure_domain != "south-a") {
                continue;
            }
            const auto list = get_json(vm.address, "/control/executions");
            if (!list) {
                throw std::runtime_error("no list of executions from " + vm.name);
            }
            for (const auto& it : *list) {
                // A shifted request without its client block would not be counted.
                const auto block = it.at("client_block").get<std::string>();
                CPPUNIT_ASSERT(!block.empty());
                if (block == client_block_of(0)) {
                    const auto at_us = it.at("monotonic_us").get<std::int64_t>() + offset_us;
                    ++out[at_us / interval_us];
                }
            }
        }
        return out;
    }

    static std::size_t shifted_total(deployment& system)
    {
        std::size_t out = 0;
        for (const auto& [interval, n] : shifted_per_interval(system)) {
            out += n;
        }
        return out;
    }

    static bool wait_for_shifted(deployment& system, std::size_t n)
    {
        return wait_until([&] { return shifted_total(system) >= n; });
    }

    /// Returns one line for each interval that exceeds the previous one by more than the cap.
    /// Prints the counts of all intervals.
    static std::string violations(deployment& system)
    {
        std::string out;
        std::string counts = "shifted per interval:";
        std::int64_t last = 0;
        std::size_t previous = 0;
        for (const auto& [interval, n] : shifted_per_interval(system)) {
            if (interval != last + 1) {
                previous = 0;
            }
            counts += fmt::format(" {}:{}", interval % 1000, n);
            if (n > previous + cap) {
                out += fmt::format("interval {}: {} after {}\n", interval % 1000, n, previous);
            }
            last = interval;
            previous = n;
        }
        std::cout << counts << '\n';
        return out;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shift_cap_test);

} // namespace toucan::test
