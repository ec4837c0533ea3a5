#include "directory.h"

#include "toucan/base/manual_clock.h"
#include "toucan/base/stable_hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace toucan::edge {

/// Look-up answers of one daemon, `entry-1`, beside others of its failure domain and of another.
class directory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(directory_test);
    CPPUNIT_TEST(last_daemon_does_not_name_killed_ones);
    CPPUNIT_TEST(daemon_lost_before_the_others_stays_out);
    CPPUNIT_TEST(daemon_cut_off_from_all_names_those_it_heard_last);
    CPPUNIT_TEST(daemon_that_never_heard_another_trusts_the_rows_without_the_store);
    CPPUNIT_TEST(daemon_that_reports_again_is_named_again);
    CPPUNIT_TEST(leaving_daemon_is_never_named);
    CPPUNIT_TEST(answer_falls_back_to_the_region_and_to_all);
    CPPUNIT_TEST_SUITE_END();

    using names = std::vector<std::string>;

    manual_clock time_;
    settings settings_;
    peer_table peers_{time_};
    bool store_answers_ = true;
    directory directory_{settings_, peers_, [this] {
                             return store_answers_;
                         }};

    static member_record member(const std::string& name, std::uint16_t port,
                                const std::string& domain)
    {
        member_record it;
        it.name = name;
        it.callers = {0x7f000001, port};
        it.failure_domain = failure_domain_name(domain);
        it.region = region_name(domain.substr(0, domain.find('-')));
        it.run = 1;
        return it;
    }

    void add(const member_record& it)
    {
        directory_.apply(it);
        if (it.name != settings_.name) {
            peers_.add(it, true);
        }
    }

    void report(const std::string& name, bool ready = true)
    {
        peers_.record_report(*peers_.find(stable_hash(name)), ready);
    }

    /// Answer to a caller of this daemon's failure domain.
    [[nodiscard]] names answer() const
    {
        return directory_.addresses(failure_domain_name("west-a"), region_name("west"));
    }

public:
    void setUp() override
    {
        settings_.name = "entry-1";
        add(member("entry-1", 1, "west-a"));
        add(member("entry-2", 2, "west-a"));
        add(member("entry-3", 3, "west-a"));
        add(member("entry-4", 4, "east-a"));
        directory_.set_local_ready(true);
    }

    // Guards against look-up answers that send callers to killed daemons: when all others were
    // lost for good, the last one went on naming them, because nothing removes their rows.
    void last_daemon_does_not_name_killed_ones()
    {
        report("entry-2");
        report("entry-3");
        report("entry-4");
        CPPUNIT_ASSERT((answer() == names{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}));
        time_.advance(milliseconds(2000));
        CPPUNIT_ASSERT(answer() == names{"127.0.0.1:1"});
        CPPUNIT_ASSERT(directory_.state().isolated);
        time_.advance(milliseconds(20000));
        CPPUNIT_ASSERT(answer() == names{"127.0.0.1:1"});
    }

    // Guards against a daemon that is named again, long after it was lost, as soon as the others
    // fall silent too.
    void daemon_lost_before_the_others_stays_out()
    {
        report("entry-2");
        for (int n = 0; n < 10; ++n) {
            report("entry-3");
            time_.advance(milliseconds(500));
        }
        CPPUNIT_ASSERT((answer() == names{"127.0.0.1:1", "127.0.0.1:3"}));
        store_answers_ = false;
        time_.advance(milliseconds(5000));
        CPPUNIT_ASSERT((answer() == names{"127.0.0.1:1", "127.0.0.1:3"}));
    }

    // Guards against a daemon that takes all callers for itself because it is cut off: when the
    // store is silent too, the silence of the others does not show that they have failed.
    void daemon_cut_off_from_all_names_those_it_heard_last()
    {
        report("entry-2");
        report("entry-3");
        store_answers_ = false;
        time_.advance(milliseconds(5000));
        CPPUNIT_ASSERT((answer() == names{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}));
        store_answers_ = true;
        CPPUNIT_ASSERT(answer() == names{"127.0.0.1:1"});
    }

    // A daemon that starts while the others and the store are out of its reach has only the rows.
    void daemon_that_never_heard_another_trusts_the_rows_without_the_store()
    {
        CPPUNIT_ASSERT((answer() == names{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}));
        time_.advance(milliseconds(5000));
        CPPUNIT_ASSERT(answer() == names{"127.0.0.1:1"});
        store_answers_ = false;
        CPPUNIT_ASSERT((answer() == names{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}));
    }

    // Guards against a daemon that was given up for good because it was silent for a while.
    void daemon_that_reports_again_is_named_again()
    {
        report("entry-2");
        time_.advance(milliseconds(5000));
        CPPUNIT_ASSERT(answer() == names{"127.0.0.1:1"});
        report("entry-2");
        CPPUNIT_ASSERT((answer() == names{"127.0.0.1:1", "127.0.0.1:2"}));
    }

    // Guards against callers that are sent to a daemon which is being stopped, with and without the
    // store: its row and its reports both say so.
    void leaving_daemon_is_never_named()
    {
        report("entry-2", false);
        auto leaving = member("entry-3", 3, "west-a");
        leaving.state = member_state::leaving;
        add(leaving);
        report("entry-3");
        CPPUNIT_ASSERT(answer() == names{"127.0.0.1:1"});
        store_answers_ = false;
        time_.advance(milliseconds(5000));
        CPPUNIT_ASSERT(answer() == names{"127.0.0.1:1"});
    }

    // A caller whose failure domain has no ready daemon gets those of its region, or else all.
    void answer_falls_back_to_the_region_and_to_all()
    {
        const auto ask = [&](const char* domain, const char* region) {
            return directory_.addresses(failure_domain_name(domain), region_name(region));
        };
        report("entry-4");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ask("west-b", "west").size());
        CPPUNIT_ASSERT(ask("east-b", "east") == names{"127.0.0.1:4"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, ask("north-a", "north").size());
        directory_.set_local_ready(false);
        time_.advance(milliseconds(2000));
        CPPUNIT_ASSERT(ask("west-a", "west").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(directory_test);

} // namespace toucan::edge
