#include "toucan/policy/load_summary.h"
#include "toucan/policy/relay_choice.h"

#include "seeds.h"

#include "toucan/base/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace toucan::policy {

class relay_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_test);
    CPPUNIT_TEST(daemon_with_most_capacity_is_the_relay);
    CPPUNIT_TEST(unresponsive_relay_is_replaced_until_it_replies);
    CPPUNIT_TEST(records_of_stopped_daemons_do_not_delay_start);
    CPPUNIT_TEST(reports_never_form_a_cycle);
    CPPUNIT_TEST(subtracting_a_summary_leaves_the_rest);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;

    /// Advances the clock by `duration` in steps of 100 ms. The daemons in `alive` reply to reports
    /// and probes.
    void exchange(relay_choice& it, const std::vector<std::uint64_t>& alive, milliseconds duration)
    {
        for (auto elapsed = milliseconds(0); elapsed < duration; elapsed += milliseconds(100)) {
            std::vector<std::uint64_t> targets = it.due_probes(time_.now());
            if (const auto relay = it.relay(time_.now())) {
                targets.push_back(*relay);
            }
            for (const auto id : targets) {
                it.record_sent(id, time_.now());
                if (std::find(alive.begin(), alive.end(), id) != alive.end()) {
                    it.record_reply(id, time_.now());
                }
            }
            time_.advance(milliseconds(100));
        }
    }

public:
    // Guards against a VM with little CPU capacity that forwards the reports of its whole failure
    // domain.
    void daemon_with_most_capacity_is_the_relay()
    {
        relay_choice weak({5, 0.07});
        weak.add({9, 0.5});
        weak.add({2, 0.07});
        weak.add({7, 0.07});
        CPPUNIT_ASSERT(weak.relay(time_.now()) == std::uint64_t{9});
        relay_choice strong({9, 0.5});
        strong.add({5, 0.07});
        CPPUNIT_ASSERT(!strong.relay(time_.now()));
    }

    // Guards against a failure domain that keeps reporting to a stopped daemon, or that does not
    // return to the preferred relay once it replies again.
    void unresponsive_relay_is_replaced_until_it_replies()
    {
        relay_choice it({5, 0.07});
        it.add({9, 0.5});
        it.add({2, 0.07});
        exchange(it, {9, 2}, milliseconds(1000));
        CPPUNIT_ASSERT(it.relay(time_.now()) == std::uint64_t{9});
        exchange(it, {2}, milliseconds(1000));
        CPPUNIT_ASSERT(it.relay(time_.now()) == std::uint64_t{2});
        exchange(it, {}, milliseconds(2000));
        CPPUNIT_ASSERT(!it.relay(time_.now()));
        exchange(it, {9, 2}, milliseconds(1500));
        CPPUNIT_ASSERT(it.relay(time_.now()) == std::uint64_t{9});
    }

    // Guards against a starting daemon that probes every daemon with a member record, one after the
    // other, before it reaches a live one.
    void records_of_stopped_daemons_do_not_delay_start()
    {
        relay_choice it({1000, 0.07});
        for (std::uint64_t id = 1; id <= 12; ++id) {
            it.add({id, 0.07});
        }
        exchange(it, {12}, milliseconds(3000));
        CPPUNIT_ASSERT(it.relay(time_.now()) == std::uint64_t{12});
    }

    // Guards against two daemons that each wait for the other's summary. Whichever daemons a sender
    // considers alive, it reports only to a daemon that precedes it.
    void reports_never_form_a_cycle()
    {
        for_each_seed("relays", [&](std::mt19937_64& random) {
            std::vector<relay_candidate> all;
            for (std::uint64_t id = 1; id <= 8; ++id) {
                all.push_back({id, static_cast<double>(draw(random, 2))});
            }
            for (const auto& self : all) {
                relay_choice it(self);
                for (const auto& other : all) {
                    if (other.id != self.id) {
                        it.add(other);
                    }
                }
                std::vector<std::uint64_t> alive;
                for (const auto& other : all) {
                    if (draw(random, 2) == 0) {
                        alive.push_back(other.id);
                    }
                }
                exchange(it, alive, milliseconds(2500));
                if (const auto relay = it.relay(time_.now())) {
                    CPPUNIT_ASSERT(precedes(all[*relay - 1], self));
                }
            }
        });
    }

    // Guards against a daemon that counts its own load as load of others.
    void subtracting_a_summary_leaves_the_rest()
    {
        load_summary self;
        self.add_backend(1, {2.5, 1});
        self.add_demand({4, 7}, 3);
        load_summary rest;
        rest.add_backend(1, {4, 3});
        rest.add_backend(2, {1, 1});
        rest.add_demand({5, 7}, 2);
        auto sum = self;
        sum += rest;
        CPPUNIT_ASSERT(sum.backend(1) == (backend_use{6.5, 4}));
        sum -= self;
        CPPUNIT_ASSERT(sum == rest);
        // Subtracting a summary that is older than the sum does not leave negative load.
        load_summary older;
        older.add_backend(2, {3, 1});
        sum -= older;
        CPPUNIT_ASSERT(sum.backend(2) == backend_use{});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_test);

} // namespace toucan::policy
