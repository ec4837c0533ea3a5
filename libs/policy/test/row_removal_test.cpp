#include "toucan/policy/row_removal.h"

#include "toucan/base/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace toucan::policy {

/// A daemon that hears no other failure domain, and the rows of the daemons that it misses.
class row_removal_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(row_removal_test);
    CPPUNIT_TEST(rows_of_lost_daemons_are_removed_within_seconds);
    CPPUNIT_TEST(daemon_that_is_cut_off_removes_one_row_a_minute);
    CPPUNIT_TEST(removals_begin_anew_after_contact);
    CPPUNIT_TEST_SUITE_END();

    using names = std::vector<std::string>;

    static constexpr milliseconds interval{2000};

    manual_clock time_;
    row_removal removal_;

    static names missed(std::size_t daemons)
    {
        names all;
        for (std::size_t n = 0; n < daemons; ++n) {
            all.push_back("entry-" + std::to_string(n));
        }
        return all;
    }

public:
    // Guards against rows that stay when all daemons of the other failure domains are lost: the
    // limits that all daemons share were divided by the number of rows for as long as they stood.
    void rows_of_lost_daemons_are_removed_within_seconds()
    {
        auto rows = missed(300);
        int calls = 0;
        for (; !rows.empty() && calls < 100; ++calls) {
            for (const auto& it : removal_.next(rows, time_.now())) {
                std::erase(rows, it);
            }
            time_.advance(interval);
        }
        CPPUNIT_ASSERT(rows.empty());
        CPPUNIT_ASSERT(calls * interval <= milliseconds(20000));
    }

    // Guards against a daemon that is cut off from the others, but not from the store, and takes
    // all of them for lost.
    void daemon_that_is_cut_off_removes_one_row_a_minute()
    {
        const auto rows = missed(300);
        std::size_t removed = 0;
        const auto end = time_.now() + milliseconds(180000);
        for (; time_.now() < end; time_.advance(interval)) {
            for (const auto& it : removal_.next(rows, time_.now())) {
                ++removed;
                removal_.record_write(it, time_.now() + milliseconds(100));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, removed);
    }

    // Rows that other daemons write show nothing, and contact with another failure domain ends the
    // doubling.
    void removals_begin_anew_after_contact()
    {
        const auto rows = missed(300);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removal_.next(rows, time_.now()).size());
        removal_.record_write("entry-250", time_.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, removal_.next(rows, time_.now()).size());
        removal_.reset();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removal_.next(rows, time_.now()).size());
        CPPUNIT_ASSERT(removal_.next({}, time_.now()).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, removal_.next(rows, time_.now()).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(row_removal_test);

} // namespace toucan::policy
