#include "peer_table.h"

#include "toucan/base/manual_clock.h"
#include "toucan/base/stable_hash.h"

#include <cppunit/extensions/HelperMacros.h>

namespace toucan::edge {

class peer_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_table_test);
    CPPUNIT_TEST(clock_set_back_does_not_silence_a_restarted_daemon);
    CPPUNIT_TEST(starting_daemon_is_not_ready_before_its_first_report);
    CPPUNIT_TEST(silent_daemon_counts_again_with_its_next_report);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;

    static member_record member(std::int64_t run)
    {
        member_record it;
        it.name = "entry-1";
        it.failure_domain = failure_domain_name("west-a");
        it.run = run;
        return it;
    }

    static member_id id() { return stable_hash("entry-1"); }

public:
    // Guards against a daemon that restarts after the wall clock of its VM was set back: its run
    // has a lower number, and a delayed datagram of the run before must not make the datagrams of
    // the new one look old.
    void clock_set_back_does_not_silence_a_restarted_daemon()
    {
        peer_table table(time_);
        table.add(member(5000), true);
        auto* it = table.find(id());
        CPPUNIT_ASSERT(it->is_newer(5000, 7));
        it->run = 5000;
        it->number = 7;
        CPPUNIT_ASSERT(!it->is_newer(5000, 7));
        CPPUNIT_ASSERT(!it->is_newer(4000, 8));
        CPPUNIT_ASSERT(it->is_newer(6000, 1));
        CPPUNIT_ASSERT(table.add(member(3000), true));
        it = table.find(id());
        CPPUNIT_ASSERT(!it->is_newer(5000, 8));
        CPPUNIT_ASSERT(it->is_newer(3000, 1));
    }

    // Guards against callers that are sent to a daemon which is still loading its tables. A daemon
    // whose row was there before this one started is assumed to be ready.
    void starting_daemon_is_not_ready_before_its_first_report()
    {
        peer_table table(time_);
        table.add(member(5000), false);
        CPPUNIT_ASSERT(!table.alive("entry-1"));
        table.record_report(*table.find(id()), true);
        CPPUNIT_ASSERT(table.alive("entry-1"));
        peer_table restarted(time_);
        restarted.add(member(5000), true);
        CPPUNIT_ASSERT(restarted.alive("entry-1"));
    }

    // Guards against a daemon that is given up because it was silent for a while: it is left out of
    // look-up answers, and is back with its next report.
    void silent_daemon_counts_again_with_its_next_report()
    {
        peer_table table(time_);
        table.add(member(5000), true);
        table.record_report(*table.find(id()), true);
        time_.advance(milliseconds(3000));
        CPPUNIT_ASSERT(!table.alive("entry-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.count_in(failure_domain_name("west-a")));
        table.record_report(*table.find(id()), true);
        CPPUNIT_ASSERT(table.alive("entry-1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_table_test);

} // namespace toucan::edge
