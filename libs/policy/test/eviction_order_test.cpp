#include "toucan/policy/eviction_order.h"

#include <cppunit/extensions/HelperMacros.h>

namespace toucan::policy {

using std::chrono::milliseconds;
using std::chrono::seconds;

class eviction_order_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(eviction_order_test);
    CPPUNIT_TEST(larger_of_two_stalled_connections_is_first);
    CPPUNIT_TEST(longer_stalled_of_two_equal_connections_is_first);
    CPPUNIT_TEST(progress_protects_a_large_connection);
    CPPUNIT_TEST(few_bytes_are_no_progress_of_a_large_connection);
    CPPUNIT_TEST(bytes_over_several_windows_do_not_add_up);
    CPPUNIT_TEST(connection_that_waits_for_this_process_is_never_chosen);
    CPPUNIT_TEST(least_stalled_time_is_observed);
    CPPUNIT_TEST(batch_does_not_return_a_connection_that_has_progressed_since);
    CPPUNIT_TEST(unsuccessful_passes_are_bounded);
    CPPUNIT_TEST_SUITE_END();

    eviction_order order_;
    steady_time now_{seconds(100)};

    void add(std::uint64_t id, std::size_t held)
    {
        order_.add(id, now_);
        order_.set_held(id, held);
    }
    std::uint64_t next(milliseconds min_stalled = milliseconds(1000))
    {
        return order_.take_next(now_, min_stalled).value_or(0);
    }

public:
    // Guards against closing whoever comes next, or a small connection that frees nothing.
    void larger_of_two_stalled_connections_is_first()
    {
        add(1, 10'000);
        add(2, 8'000'000);
        add(3, 20'000);
        now_ += seconds(3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, next());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, next());
    }

    // Guards against closing the connection that has just arrived.
    void longer_stalled_of_two_equal_connections_is_first()
    {
        add(1, 12'000);
        now_ += seconds(4);
        add(2, 12'000);
        now_ += seconds(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next());
    }

    // Guards against closing a large upload that arrives at an ordinary rate.
    void progress_protects_a_large_connection()
    {
        add(1, 64'000'000);
        add(2, 50'000);
        for (int n = 0; n < 50; ++n) {
            now_ += milliseconds(100);
            order_.record_bytes(1, 200'000, now_);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, next());
    }

    // Guards against a caller that keeps a large body by a byte now and then.
    void few_bytes_are_no_progress_of_a_large_connection()
    {
        add(1, 8'000'000);
        for (int n = 0; n < 50; ++n) {
            now_ += milliseconds(100);
            order_.record_bytes(1, 100, now_);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next());
    }

    // Guards against slow bytes that add up to progress over any time.
    void bytes_over_several_windows_do_not_add_up()
    {
        add(1, 64'000);
        for (int n = 0; n < 10; ++n) {
            now_ += milliseconds(2100);
            order_.record_bytes(1, 600, now_);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next());
    }

    // Guards against closing a connection whose request is at a backend server.
    void connection_that_waits_for_this_process_is_never_chosen()
    {
        add(1, 8'000'000);
        order_.set_waits_for_peer(1, false, now_);
        now_ += seconds(60);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, next(milliseconds(0)));
        order_.set_waits_for_peer(1, true, now_);
        now_ += milliseconds(500);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, next());
        now_ += milliseconds(500);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next());
    }

    void least_stalled_time_is_observed()
    {
        add(1, 1'000'000);
        now_ += milliseconds(900);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, next());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next(milliseconds(0)));
    }

    // Guards against a connection that was stalled at the last pass but is not any more.
    void batch_does_not_return_a_connection_that_has_progressed_since()
    {
        add(1, 1'000'000);
        add(2, 2'000'000);
        now_ += seconds(3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next());
        order_.record_bytes(1, 500'000, now_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, next());
    }

    // Guards against a pass over all connections for each arrival of a crowd.
    void unsuccessful_passes_are_bounded()
    {
        add(1, 1'000'000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, next());
        now_ += seconds(3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next());
        add(2, 1'000'000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, next());
        now_ += milliseconds(50);
        order_.set_held(2, 2'000'000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, next(milliseconds(1000)));
        now_ += milliseconds(1000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(eviction_order_test);

} // namespace toucan::policy
