#include "toucan/policy/link_budget.h"
#include "toucan/policy/shift_ramp.h"

#include "seeds.h"

#include "toucan/base/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <vector>

namespace toucan::policy {

class budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(budget_test);
    CPPUNIT_TEST(shares_sum_to_the_cap);
    CPPUNIT_TEST(shift_growth_per_interval_is_at_most_the_cap);
    CPPUNIT_TEST(allowance_grows_by_the_share_per_interval);
    CPPUNIT_TEST(link_stays_within_rate_and_burst);
    CPPUNIT_TEST(link_capacity_is_divided_among_sending_entry_vms);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;

public:
    // Guards against rounding that makes the shares exceed the cap, or that gives a spender no
    // request in any interval.
    void shares_sum_to_the_cap()
    {
        for (const std::uint64_t cap : {0U, 1U, 3U, 7U, 20U, 1001U}) {
            for (const std::uint32_t spenders : {1U, 2U, 7U, 23U}) {
                std::vector<std::uint64_t> total(spenders, 0);
                for (std::uint64_t number = 1000; number < 1000 + spenders; ++number) {
                    std::uint64_t sum = 0;
                    for (std::uint32_t it = 0; it < spenders; ++it) {
                        const auto share = shift_share{cap, it, spenders}.allowance(number);
                        sum += share;
                        total[it] += share;
                    }
                    CPPUNIT_ASSERT_EQUAL(cap, sum);
                }
                for (const auto it : total) {
                    CPPUNIT_ASSERT(cap == 0 || it > 0);
                }
            }
        }
        steering::service service;
        service.rate = 100;
        service.shift = {0.07, std::chrono::seconds(10)};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, cap_requests(service));
    }

    // Guards invariant 1: the sum over all spenders grew by more than the cap in one interval when
    // spenders paused, were partitioned, restarted or resumed.
    void shift_growth_per_interval_is_at_most_the_cap()
    {
        for_each_seed("shift cap", [&](std::mt19937_64& random) {
            constexpr std::uint32_t spenders = 7;
            const std::uint64_t cap = 5 + draw(random, 60);
            const std::chrono::seconds interval(10);
            std::vector<shift_ramp> ramps;
            for (std::uint32_t it = 0; it < spenders; ++it) {
                ramps.emplace_back(shift_share{cap, it, spenders}, interval, time_.now());
            }
            std::vector<std::int64_t> paused_until(spenders, 0);
            std::uint64_t previous = 0;
            std::uint64_t max_sum = 0;
            for (std::int64_t number = 0; number < 200; ++number) {
                std::uint64_t sum = 0;
                for (int step = 0; step < 10; ++step) {
                    time_.advance(std::chrono::seconds(1));
                    if (step == 0) {
                        // Aligns the steps with the interval, so that the sum covers one numbered
                        // interval.
                        const auto offset = time_.now().time_since_epoch() % interval;
                        time_.advance(offset.count() == 0 ? std::chrono::nanoseconds(0)
                                                          : interval - offset);
                    }
                    for (std::uint32_t it = 0; it < spenders; ++it) {
                        if (draw(random, 200) == 0) {
                            paused_until[it] = number + draw(random, 6);
                        }
                        if (draw(random, 300) == 0) {
                            ramps[it] = shift_ramp({cap, it, spenders}, interval, time_.now());
                        }
                        if (paused_until[it] > number) {
                            continue;
                        }
                        for (unsigned n = draw(random, 40); n > 0; --n) {
                            sum += ramps[it].try_spend(time_.now()) ? 1 : 0;
                        }
                        if (draw(random, 5) == 0) {
                            sum += ramps[it].remaining(time_.now()) > 0 &&
                                           ramps[it].try_spend(time_.now())
                                       ? 1
                                       : 0;
                        }
                    }
                }
                CPPUNIT_ASSERT(sum <= previous + cap);
                previous = sum;
                max_sum = std::max(max_sum, sum);
            }
            CPPUNIT_ASSERT(max_sum > 2 * cap);
        });
    }

    // Guards against a budget that meets its cap only because it never permits a shift.
    void allowance_grows_by_the_share_per_interval()
    {
        const std::chrono::seconds interval(10);
        shift_ramp ramp({30, 1, 3}, interval, time_.now());
        CPPUNIT_ASSERT(!ramp.try_spend(time_.now()));
        for (std::uint64_t number = 1; number < 20; ++number) {
            time_.advance(interval);
            std::uint64_t spent = 0;
            while (ramp.try_spend(time_.now())) {
                ++spent;
            }
            CPPUNIT_ASSERT_EQUAL(10 * number, spent);
        }
        time_.advance(3 * interval);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, ramp.remaining(time_.now()));
        CPPUNIT_ASSERT(ramp.until_renewal(time_.now()) <= interval);
    }

    // Guards against a link budget that permits more than rate plus burst in any window of 1 s.
    void link_stays_within_rate_and_burst()
    {
        for_each_seed("link budget", [&](std::mt19937_64& random) {
            constexpr double rate = 1e6;
            link_budget budget(rate, time_.now());
            struct sample {
                steady_time at;
                std::uint64_t bytes;
            };
            std::deque<sample> window;
            std::uint64_t in_window = 0;
            for (int step = 0; step < 20'000; ++step) {
                time_.advance(milliseconds(draw(random, 3)));
                if (draw(random, 2000) == 0) {
                    time_.advance(std::chrono::seconds(30));
                }
                const std::uint64_t bytes = draw(random, 20'000);
                if (budget.try_spend(bytes, time_.now())) {
                    window.push_back({time_.now(), bytes});
                    in_window += bytes;
                }
                while (window.front().at < time_.now() - std::chrono::seconds(1)) {
                    in_window -= window.front().bytes;
                    window.pop_front();
                }
                CPPUNIT_ASSERT(static_cast<double>(in_window) <= rate * 1.1 + 1);
            }
        });
    }

    // Guards against dividing a link by the entry VMs of the wrong region, so that the sending VMs
    // together exceed its capacity.
    void link_capacity_is_divided_among_sending_entry_vms()
    {
        steering::deployment_topology topology;
        const region_name noord("noord");
        const region_name zuid("zuid");
        topology.failure_domains = {{failure_domain_name("n1"), noord, 3},
                                    {failure_domain_name("n2"), noord, 5},
                                    {failure_domain_name("z1"), zuid, 2}};
        topology.links = {{noord, zuid, 4000, milliseconds(55)}};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4000e6 / 8 / 8, link_share(topology, noord, zuid), 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4000e6 / 8 / 2, link_share(topology, zuid, noord), 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(budget_test);

} // namespace toucan::policy
