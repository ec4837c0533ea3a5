#include "toucan/policy/store_pacing.h"

#include "seeds.h"

#include "toucan/base/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <vector>

namespace toucan::policy {

/// Daemons that call a store which is down, each with three tables to follow.
class store_pacing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_pacing_test);
    CPPUNIT_TEST(calls_to_a_failing_store_do_not_grow_with_the_deployment);
    CPPUNIT_TEST(recovery_is_noticed_in_time);
    CPPUNIT_TEST(single_lost_call_is_repeated_soon);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds step{10};
    static constexpr std::size_t tables = 3;
    static constexpr std::size_t domains = 9;

    /// One daemon of each failure domain is its relay, the others follow it.
    static std::vector<store_pacing> deployment(std::size_t per_domain)
    {
        std::vector<store_pacing> all(domains * per_domain);
        for (std::size_t it = 0; it < all.size(); ++it) {
            all[it].set_longest_pause(it % per_domain == 0
                                          ? store_pacing::direct_longest_pause
                                          : store_pacing::follower_longest_pause(per_domain));
        }
        return all;
    }

    /// Calls per second in the last ten of twenty seconds of an outage.
    static double calls_per_second(std::size_t per_domain, std::mt19937_64& random)
    {
        manual_clock time;
        auto all = deployment(per_domain);
        std::uniform_real_distribution<double> draw(0, 1);
        for (auto& it : all) {
            for (std::size_t table = 0; table < tables; ++table) {
                it.record_failure(false, draw(random), time.now());
            }
        }
        int calls = 0;
        for (int n = 0; n < 2000; ++n, time.advance(step)) {
            for (auto& it : all) {
                for (std::size_t table = 0; table < tables; ++table) {
                    if (it.try_call(time.now())) {
                        calls += n >= 1000 ? 1 : 0;
                        it.record_failure(true, draw(random), time.now());
                    }
                }
            }
        }
        return calls / 10.0;
    }

public:
    // Guards against an outage in which the daemons call the store more often the more of them
    // there are. At 125 daemons these calls cost more than the outage itself.
    void calls_to_a_failing_store_do_not_grow_with_the_deployment()
    {
        for_each_seed("outage", [&](std::mt19937_64& random) {
            const double few = calls_per_second(2, random);
            const double many = calls_per_second(5, random);
            CPPUNIT_ASSERT(few <= domains * 6.0);
            // Above five daemons in a domain the bound on the time to notice a recovery counts,
            // with one call of each daemon in 1.5 s.
            CPPUNIT_ASSERT_LESS(domains * 8.0, many);
            CPPUNIT_ASSERT_LESS(domains * (3 + 33 / 1.2), calls_per_second(33, random));
        });
    }

    // Guards against daemons that stay without the store for long after it has come back.
    void recovery_is_noticed_in_time()
    {
        for_each_seed("recovery", [&](std::mt19937_64& random) {
            std::uniform_real_distribution<double> draw(0, 1);
            manual_clock time;
            store_pacing relay;
            store_pacing follower;
            follower.set_longest_pause(store_pacing::follower_longest_pause(200));
            const auto wait = [&](store_pacing& it) {
                for (int n = 0; n < 20; ++n) {
                    it.record_failure(true, draw(random), time.now());
                }
                const auto start = time.now();
                while (!it.try_call(time.now())) {
                    time.advance(step);
                }
                return time.now() - start;
            };
            CPPUNIT_ASSERT(wait(relay) <= milliseconds(750));
            CPPUNIT_ASSERT(wait(follower) <= milliseconds(2250));
        });
    }

    // Guards against a long pause after a single lost answer.
    void single_lost_call_is_repeated_soon()
    {
        manual_clock time;
        store_pacing it;
        it.set_longest_pause(store_pacing::follower_longest_pause(100));
        CPPUNIT_ASSERT(it.try_call(time.now()));
        for (std::size_t table = 0; table < tables; ++table) {
            it.record_failure(false, 1, time.now());
        }
        CPPUNIT_ASSERT(!it.try_call(time.now()));
        time.advance(milliseconds(300));
        CPPUNIT_ASSERT(it.try_call(time.now()));
        CPPUNIT_ASSERT(!it.try_call(time.now()));
        it.record_success();
        CPPUNIT_ASSERT(it.try_call(time.now()) && it.try_call(time.now()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_pacing_test);

} // namespace toucan::policy
