#include "toucan/policy/load_summary.h"
#include "toucan/policy/relay_choice.h"

#include "seeds.h"

#include "toucan/base/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace toucan::policy {

class relay_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_test);
    CPPUNIT_TEST(strongest_daemon_is_the_relay);
    CPPUNIT_TEST(silent_relay_is_replaced_and_used_again_when_it_answers);
    CPPUNIT_TEST(rows_of_gone_daemons_do_not_hold_up_a_start);
    CPPUNIT_TEST(reports_never_go_in_a_circle);
    CPPUNIT_TEST(sum_without_a_part_is_the_rest);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;

    /// Time passes while a set of daemons answers reports and probes.
    void run(relay_choice& it, const std::vector<std::uint64_t>& alive, milliseconds span)
    {
        for (auto passed = milliseconds(0); passed < span; passed += milliseconds(100)) {
            std::vector<std::uint64_t> asked = it.due_probes(time_.now());
            if (const auto relay = it.relay(time_.now())) {
                asked.push_back(*relay);
            }
            for (const auto id : asked) {
                it.asked(id, time_.now());
                if (std::find(alive.begin(), alive.end(), id) != alive.end()) {
                    it.heard(id, time_.now());
                }
            }
            time_.advance(milliseconds(100));
        }
    }

public:
    // Guards against a weak VM that has to send the reports of its whole failure domain.
    void strongest_daemon_is_the_relay()
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

    // Guards against a failure domain that goes on reporting to a daemon that is gone, or that
    // never returns to it.
    void silent_relay_is_replaced_and_used_again_when_it_answers()
    {
        relay_choice it({5, 0.07});
        it.add({9, 0.5});
        it.add({2, 0.07});
        run(it, {9, 2}, milliseconds(1000));
        CPPUNIT_ASSERT(it.relay(time_.now()) == std::uint64_t{9});
        run(it, {2}, milliseconds(1000));
        CPPUNIT_ASSERT(it.relay(time_.now()) == std::uint64_t{2});
        run(it, {}, milliseconds(2000));
        CPPUNIT_ASSERT(!it.relay(time_.now()));
        run(it, {9, 2}, milliseconds(1500));
        CPPUNIT_ASSERT(it.relay(time_.now()) == std::uint64_t{9});
    }

    // Guards against a start that tries every daemon that ever ran before it hears a live one.
    void rows_of_gone_daemons_do_not_hold_up_a_start()
    {
        relay_choice it({1000, 0.07});
        for (std::uint64_t id = 1; id <= 12; ++id) {
            it.add({id, 0.07});
        }
        run(it, {12}, milliseconds(3000));
        CPPUNIT_ASSERT(it.relay(time_.now()) == std::uint64_t{12});
    }

    // Guards against two daemons that each wait for the other's sum: whatever each believes of the
    // others, a report only goes to a daemon that precedes the sender.
    void reports_never_go_in_a_circle()
    {
        for_each_seed("relays", [&](std::mt19937_64& random) {
            std::vector<relay_candidate> all;
            for (std::uint64_t id = 1; id <= 8; ++id) {
                all.push_back({id, static_cast<double>(draw(random, 2))});
            }
            for (const auto& own : all) {
                relay_choice it(own);
                for (const auto& other : all) {
                    if (other.id != own.id) {
                        it.add(other);
                    }
                }
                std::vector<std::uint64_t> alive;
                for (const auto& other : all) {
                    if (draw(random, 2) == 0) {
                        alive.push_back(other.id);
                    }
                }
                run(it, alive, milliseconds(2500));
                if (const auto relay = it.relay(time_.now())) {
                    CPPUNIT_ASSERT(precedes(all[*relay - 1], own));
                }
            }
        });
    }

    // Guards against load that a daemon counts as that of others although it is its own.
    void sum_without_a_part_is_the_rest()
    {
        load_summary own;
        own.add_backend(1, {2.5, 1});
        own.add_demand({4, 7}, 3);
        load_summary rest;
        rest.add_backend(1, {4, 3});
        rest.add_backend(2, {1, 1});
        rest.add_demand({5, 7}, 2);
        auto sum = own;
        sum += rest;
        CPPUNIT_ASSERT(sum.backend(1) == (backend_use{6.5, 4}));
        sum -= own;
        CPPUNIT_ASSERT(sum == rest);
        // A part that is older than the sum leaves nothing negative behind.
        load_summary older;
        older.add_backend(2, {3, 1});
        sum -= older;
        CPPUNIT_ASSERT(sum.backend(2) == backend_use{});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_test);

} // namespace toucan::policy
