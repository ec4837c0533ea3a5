#include "backend_rows.h"

#include "toucan/base/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <cstdlib>

namespace toucan::edge {

namespace {

/// Codec of rows with the text `STARTED NUMBER STATE`.
class text_codec final : public record_codec {
public:
    [[nodiscard]] std::string backend_table() const override { return "servers"; }
    [[nodiscard]] std::string operator_table() const override { return "operator"; }
    [[nodiscard]] std::optional<backend_record> decode_backend(const table_row& from) const override
    {
        backend_record it;
        it.name = backend_server_name(from.key);
        it.service = service_name("checks");
        it.address = *vm_address::parse("127.0.0.1:9");
        char* end = nullptr;
        it.started_ms = std::strtoll(from.value.c_str(), &end, 10);
        it.number = std::strtoull(end, &end, 10);
        it.leaving = std::string(end) == " leaving";
        return it;
    }
    [[nodiscard]] operator_record classify(const table_row& /*it*/) const override { return {}; }
    [[nodiscard]] std::shared_ptr<const routing_config>
    decode_configuration(const table_row& /*it*/) const override
    {
        return nullptr;
    }
};

} // namespace

/// Rows of backend servers, in order and from a store that was restored from an older copy.
class backend_rows_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_rows_test);
    CPPUNIT_TEST(restored_row_does_not_bring_back_a_leaving_server);
    CPPUNIT_TEST(restored_row_does_not_bring_back_a_removed_server);
    CPPUNIT_TEST(restored_row_of_an_earlier_run_is_not_applied);
    CPPUNIT_TEST(restored_row_that_stays_is_applied);
    CPPUNIT_TEST(restored_row_that_is_not_older_is_applied_at_once);
    CPPUNIT_TEST(late_row_of_an_earlier_run_is_not_applied);
    CPPUNIT_TEST(late_row_of_the_same_run_is_not_applied);
    CPPUNIT_TEST(row_of_a_restart_with_a_lower_clock_is_applied_later);
    CPPUNIT_TEST(rows_of_a_restart_with_a_lower_clock_do_not_delay_each_other);
    CPPUNIT_TEST(row_of_a_second_restore_is_held_back_as_long);
    CPPUNIT_TEST(row_without_a_start_is_applied_at_once);
    CPPUNIT_TEST(row_held_back_is_not_applied_while_the_store_does_not_answer);
    CPPUNIT_TEST(row_missing_after_an_outage_is_kept_for_a_while);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context loop_{1};
    manual_clock time_;
    settings settings_;
    text_codec codec_;
    fleet fleet_{loop_, time_, settings_, std::make_shared<byte_budget>(1U << 20U)};
    backend_rows rows_{time_, codec_, fleet_};

    static table_row row(std::int64_t started, std::uint64_t number, const char* state = "ready")
    {
        return {"s1", fmt::format("{} {} {}", started, number, state), 1, false};
    }

    [[nodiscard]] fleet::server server() const
    {
        const auto& all = fleet_.of(service_name("checks"));
        return all.empty() ? nullptr : all.front();
    }

public:
    void setUp() override { time_.advance(std::chrono::hours(1)); }

    // Guards against requests to a server that has announced that it leaves.
    void restored_row_does_not_bring_back_a_leaving_server()
    {
        rows_.change(row(100, 5));
        rows_.change(row(100, 8, "leaving"));
        rows_.restore(row(100, 6));
        CPPUNIT_ASSERT(server()->record.leaving);
        // Its own next row counts again.
        rows_.change(row(100, 9, "leaving"));
        time_.advance(std::chrono::seconds(20));
        rows_.expire();
        CPPUNIT_ASSERT(server()->record.leaving);
    }

    // Guards against requests to a server that is gone.
    void restored_row_does_not_bring_back_a_removed_server()
    {
        rows_.change(row(100, 5));
        rows_.change(row(100, 8, "leaving"));
        rows_.remove("s1");
        rows_.restore(row(100, 6));
        CPPUNIT_ASSERT(!server());
        time_.advance(std::chrono::seconds(4));
        rows_.expire();
        CPPUNIT_ASSERT(!server());
        // The store removes the rows of servers that do not write them.
        rows_.remove("s1");
        time_.advance(std::chrono::seconds(20));
        rows_.expire();
        CPPUNIT_ASSERT(!server());
    }

    // Guards against a server that is taken for its former run.
    void restored_row_of_an_earlier_run_is_not_applied()
    {
        rows_.change(row(100, 50));
        rows_.change(row(200, 1));
        rows_.restore(row(100, 40));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, server()->record.started_ms);
    }

    // Guards against a server that stays out of use although it still writes its row: only a
    // change of more than its number is reported.
    void restored_row_that_stays_is_applied()
    {
        rows_.change(row(100, 8));
        rows_.remove("s1");
        rows_.restore(row(100, 6));
        CPPUNIT_ASSERT(!server());
        time_.advance(std::chrono::seconds(8));
        rows_.expire();
        CPPUNIT_ASSERT(server());
    }

    void restored_row_that_is_not_older_is_applied_at_once()
    {
        rows_.restore(row(100, 6));
        CPPUNIT_ASSERT(server());
        rows_.restore(row(100, 7, "leaving"));
        CPPUNIT_ASSERT(server()->record.leaving);
    }

    // Guards against a server that is put back to its former run by a write that reaches the store
    // late, after the present run has registered.
    void late_row_of_an_earlier_run_is_not_applied()
    {
        rows_.change(row(200, 1));
        rows_.change(row(100, 50));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, server()->record.started_ms);
        // The present run writes its row again.
        rows_.change(row(200, 2));
        time_.advance(std::chrono::seconds(20));
        rows_.expire();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, server()->record.started_ms);
    }

    // Guards against new requests to a server that has announced that it leaves.
    void late_row_of_the_same_run_is_not_applied()
    {
        rows_.change(row(100, 8, "leaving"));
        rows_.change(row(100, 6));
        CPPUNIT_ASSERT(server()->record.leaving);
    }

    // Guards against a server that stays unknown because its clock stepped back before it started
    // again. Its row is told from that of an earlier run by staying in the store.
    void row_of_a_restart_with_a_lower_clock_is_applied_later()
    {
        rows_.change(row(200, 50));
        rows_.change(row(100, 1));
        time_.advance(milliseconds(6900));
        rows_.expire();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, server()->record.started_ms);
        time_.advance(milliseconds(200));
        rows_.expire();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{100}, server()->record.started_ms);
        // From then on, its rows count at once.
        rows_.change(row(100, 2, "leaving"));
        CPPUNIT_ASSERT(server()->record.leaving);
    }

    // Guards against a restarted server that stays unknown for as long as it changes its row.
    void rows_of_a_restart_with_a_lower_clock_do_not_delay_each_other()
    {
        rows_.change(row(200, 50));
        for (std::uint64_t number = 1; number <= 5; ++number) {
            rows_.change(row(100, number, number < 5 ? "ready" : "leaving"));
            time_.advance(milliseconds(1500));
            rows_.expire();
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{100}, server()->record.started_ms);
        CPPUNIT_ASSERT(server()->record.leaving);
    }

    // Guards against a server that is gone and is brought back early because the store was restored
    // twice.
    void row_of_a_second_restore_is_held_back_as_long()
    {
        rows_.change(row(100, 8));
        rows_.remove("s1");
        rows_.restore(row(100, 6));
        time_.advance(milliseconds(5000));
        rows_.restore(row(100, 6));
        time_.advance(milliseconds(5000));
        rows_.expire();
        CPPUNIT_ASSERT(!server());
    }

    // Guards against a restarted server that stays unknown although nothing tells that its row is
    // older: its numbers begin anew.
    void row_without_a_start_is_applied_at_once()
    {
        rows_.change(row(0, 50, "leaving"));
        rows_.change(row(0, 1));
        CPPUNIT_ASSERT(!server()->record.leaving);
    }

    // Guards against an earlier run that is taken for the present one because the store, which
    // would have the row of the present one, did not answer.
    void row_held_back_is_not_applied_while_the_store_does_not_answer()
    {
        rows_.change(row(200, 50));
        rows_.change(row(100, 1));
        rows_.record_store_availability(false);
        time_.advance(std::chrono::seconds(20));
        rows_.expire();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, server()->record.started_ms);
        rows_.record_store_availability(true);
        rows_.expire();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, server()->record.started_ms);
        time_.advance(std::chrono::seconds(8));
        rows_.expire();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{100}, server()->record.started_ms);
    }

    // Guards against servers that are dropped because the store returned without their rows.
    void row_missing_after_an_outage_is_kept_for_a_while()
    {
        rows_.change(row(100, 5));
        rows_.record_store_availability(false);
        rows_.record_store_availability(true);
        rows_.remove("s1");
        rows_.expire();
        CPPUNIT_ASSERT(server());
        time_.advance(std::chrono::seconds(2));
        rows_.expire();
        CPPUNIT_ASSERT(!server());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_rows_test);

} // namespace toucan::edge
