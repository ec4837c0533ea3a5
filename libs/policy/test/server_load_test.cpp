#include "toucan/policy/backend_choice.h"
#include "toucan/policy/load_share.h"
#include "toucan/policy/server_load_estimate.h"

#include "toucan/base/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace toucan::policy {

/// Choice of servers by the load and the speed that they state in their responses.
class server_load_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_load_test);
    CPPUNIT_TEST(without_statements_the_reports_are_unchanged);
    CPPUNIT_TEST(server_that_other_daemons_fill_is_not_chosen);
    CPPUNIT_TEST(server_that_becomes_free_is_chosen);
    CPPUNIT_TEST(statement_outweighs_old_reports);
    CPPUNIT_TEST(statement_fades_into_the_reports);
    CPPUNIT_TEST(own_requests_are_counted_once);
    CPPUNIT_TEST(answered_request_need_not_be_in_the_figure);
    CPPUNIT_TEST(late_response_does_not_replace_a_newer_one);
    CPPUNIT_TEST(slow_neighbour_takes_less_overflow);
    CPPUNIT_TEST(slow_server_keeps_objects_that_it_serves_in_time);
    CPPUNIT_TEST(share_of_a_slow_server_returns);
    CPPUNIT_TEST(request_sent_again_goes_to_a_fast_server);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t slots = 6;
    static constexpr milliseconds round_trip{2};
    static constexpr load_bounds bounds{1, 0.5, 0.25};

    manual_clock time_;

    [[nodiscard]] peer_load_report peers(double slots_in_use, milliseconds age = {}) const
    {
        return {slots_in_use, time_.now() - age};
    }

    /// Records a response to a request that was sent 300 ms ago and was the only one.
    void state(server_load_estimate& to, const reported_load& it) const
    {
        const auto sent = time_.now() - milliseconds(300);
        to.add_request(sent);
        to.record(it, sent, true, round_trip, time_.now());
        to.remove_request(sent);
    }

    [[nodiscard]] backend_option option(std::uint64_t id, const server_load_estimate& it,
                                        const peer_load_report& reported, double local = 0) const
    {
        backend_option option;
        option.id = id;
        option.slots = slots;
        option.load = local + it.others(reported, time_.now());
        option.slowness = it.slowness(time_.now());
        return option;
    }

    static std::uint64_t chosen(std::vector<backend_option> options)
    {
        const std::vector<ranked_tier> tiers{{std::move(options), 2}};
        const auto* it = choose_ranked(tiers, bounds);
        return it == nullptr ? 0 : it->id;
    }

public:
    // Load: servers without the header. Guards against a change of the choice for them.
    void without_statements_the_reports_are_unchanged()
    {
        server_load_estimate it;
        it.add_request(time_.now());
        CPPUNIT_ASSERT_EQUAL(3.25, it.others(peers(3.25, milliseconds(700)), time_.now()));
        CPPUNIT_ASSERT_EQUAL(1.0, it.slowness(time_.now()));
        CPPUNIT_ASSERT(!it.age({}, time_.now()));
    }

    // Load: a server that other daemons fill between two reports. Guards against requests that it
    // would refuse.
    void server_that_other_daemons_fill_is_not_chosen()
    {
        server_load_estimate filled;
        const server_load_estimate other;
        state(filled, {6, 2, slots});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                             chosen({option(1, filled, peers(1)), option(2, other, peers(1))}));
        // The division of its free slots does not let this daemon send more either.
        server_load load;
        load.total = filled.others(peers(1), time_.now());
        load.bound = slots;
        load.sharers = 2;
        CPPUNIT_ASSERT_EQUAL(0.0, local_load_limit(load, 0.9));
    }

    // Load: a server that becomes free between two reports. Guards against objects that leave their
    // warm server although it has room.
    void server_that_becomes_free_is_chosen()
    {
        server_load_estimate freed;
        const server_load_estimate other;
        state(freed, {2, 0, slots});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             chosen({option(1, freed, peers(6)), option(2, other, peers(1))}));
    }

    // Load: reports that stop, as with a lost relay. Guards against an estimate that falls back to
    // the last report while responses still tell the load.
    void statement_outweighs_old_reports()
    {
        server_load_estimate it;
        state(it, {6, 0, slots});
        time_.advance(milliseconds(150));
        const double with_new = it.others(peers(0), time_.now());
        const double with_old = it.others(peers(0, milliseconds(800)), time_.now());
        CPPUNIT_ASSERT(with_new < 3);
        CPPUNIT_ASSERT(with_old > 4);
        CPPUNIT_ASSERT(it.age(peers(0, milliseconds(800)), time_.now()) < milliseconds(160));
    }

    // Load: a server that this daemon has not used for a while. Guards against a choice by what it
    // stated long ago.
    void statement_fades_into_the_reports()
    {
        server_load_estimate it;
        state(it, {6, 0, slots});
        double before = it.others(peers(1), time_.now());
        CPPUNIT_ASSERT(before > 4.9);
        for (int n = 0; n < 10; ++n) {
            time_.advance(milliseconds(100));
            const double now = it.others(peers(1), time_.now());
            CPPUNIT_ASSERT(now < before);
            before = now;
        }
        CPPUNIT_ASSERT_EQUAL(1.0, before);
    }

    // Load: this daemon's own burst. Guards against requests that are counted twice, as this
    // daemon's and as others', and against requests that the server had not received yet.
    void own_requests_are_counted_once()
    {
        server_load_estimate it;
        constexpr milliseconds far{110};
        const auto now = time_.now();
        it.add_request(now - milliseconds(500));
        it.add_request(now - milliseconds(200));
        it.add_request(now - milliseconds(100));
        // Two of the five are this daemon's; its third request was still under way.
        CPPUNIT_ASSERT_EQUAL(3.0,
                             *it.record({5, 0, slots}, now - milliseconds(500), true, far, now));
        // A refused request is not in the figures: six are others' if this daemon has none there.
        server_load_estimate refusing;
        refusing.add_request(now - milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(
            6.0, *refusing.record({6, 0, slots}, now - milliseconds(200), false, far, now));
    }

    // Load: servers that end a request before they write its response. Guards against one slot too
    // few in use by others.
    void answered_request_need_not_be_in_the_figure()
    {
        server_load_estimate it;
        state(it, {0, 0, slots});
        state(it, {3, 0, slots});
        CPPUNIT_ASSERT(it.others(peers(3), time_.now()) > 2.99);
    }

    // Load: a distant server, whose responses may be overtaken. Guards against older figures.
    void late_response_does_not_replace_a_newer_one()
    {
        server_load_estimate it;
        state(it, {6, 0, slots});
        const auto sent = time_.now() - milliseconds(300);
        it.add_request(sent);
        CPPUNIT_ASSERT(!it.record({1, 0, slots}, sent, true, milliseconds(50), time_.now()));
        CPPUNIT_ASSERT(it.others(peers(5), time_.now()) > 4.9);
    }

    // Load: a slow neighbour. Guards against overflow to a server that takes 2.5 times as long.
    void slow_neighbour_takes_less_overflow()
    {
        const server_load_estimate full;
        server_load_estimate neighbour;
        state(neighbour, {3, 0, slots, 2.5});
        // Two requests are five slots of work, more than the half that overflow may use.
        const auto first = option(1, full, peers(6));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, chosen({first, option(2, neighbour, peers(2))}));
        state(neighbour, {3, 0, slots, 1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, chosen({first, option(2, neighbour, peers(2))}));
    }

    // Load: a server that is slow for a moment. Guards against warm objects that leave a server
    // which serves them in time: the next one needs three times the work.
    void slow_server_keeps_objects_that_it_serves_in_time()
    {
        server_load_estimate slow;
        const server_load_estimate next;
        state(slow, {5, 0, slots, 2.5});
        auto first = option(1, slow, peers(4));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, chosen({first, option(2, next, peers(0))}));
        first.keeps_objects = false;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, chosen({first, option(2, next, peers(0))}));
    }

    // Load: the set of slow servers changes every 0.6 s. Guards against a server that stays out of
    // use after it has become fast, with and without news from it.
    void share_of_a_slow_server_returns()
    {
        server_load_estimate it;
        state(it, {1, 0, slots, 2.5});
        CPPUNIT_ASSERT(it.slowness(time_.now()) > 2.49);
        time_.advance(milliseconds(50));
        state(it, {1, 0, slots, 1});
        CPPUNIT_ASSERT_EQUAL(1.0, it.slowness(time_.now()));
        state(it, {1, 0, slots, 2.5});
        time_.advance(milliseconds(400));
        CPPUNIT_ASSERT(it.slowness(time_.now()) < 2);
        time_.advance(milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(1.0, it.slowness(time_.now()));
    }

    // Load: hedges of requests on a slow server. Guards against a second attempt that is slow too,
    // and against a request without any server when all are slow.
    void request_sent_again_goes_to_a_fast_server()
    {
        server_load_estimate slow;
        const server_load_estimate fast;
        state(slow, {1, 0, slots, 2.5});
        const auto first = option(1, slow, peers(0));
        const std::vector<ranked_tier> one_fast{{{first, option(2, fast, peers(2))}, 2}};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, choose_ranked(one_fast, bounds)->id);
        CPPUNIT_ASSERT(choose_fast_first(one_fast, bounds) == &one_fast[0].options[1]);
        const std::vector<ranked_tier> all_slow{{{first, option(2, slow, peers(2))}, 2}};
        CPPUNIT_ASSERT(choose_fast_first(all_slow, bounds) == &all_slow[0].options[0]);
        // The slots that a server reserves for its own objects stay reserved.
        const std::vector<ranked_tier> busy{{{first, option(2, fast, peers(3))}, 2}};
        CPPUNIT_ASSERT(choose_fast_first(busy, bounds) == &busy[0].options[0]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_load_test);

} // namespace toucan::policy
