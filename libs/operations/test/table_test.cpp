#include "toucan/base/manual_clock.h"
#include "toucan/base/system_clock.h"
#include "toucan/operations/hedge_timer.h"
#include "toucan/operations/operation_table.h"
#include "toucan/operations/outcomes.h"
#include "toucan/operations/reasons.h"
#include "toucan/operations/retry_budget.h"
#include "toucan/operations/witness_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>
#include <vector>

namespace toucan::operations {

namespace {

const vm_id owner{{0x0a000001, 7000}, incarnation(5)};
const vm_id witness{{0x0a000002, 7000}, incarnation(6)};
constexpr std::chrono::minutes retention{15};

operation_key key_of(std::uint64_t number, std::uint64_t n = 0)
{
    return {{owner, witness, number}, n};
}

key_validity valid()
{
    return key_validity::valid;
}

key_validity expired()
{
    return key_validity::expired;
}

template <typename T>
bool is(const begin_result& it)
{
    return std::holds_alternative<T>(it);
}

outcome response(std::size_t size)
{
    return completed{{200, {}, std::string(size, 'x')}};
}

void record_outcome(operation_table& table, const operation_key& key, const outcome& result)
{
    table.finish(std::get<operation_started>(table.begin(key, valid)).token, result);
}

} // namespace

class table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(table_test);
    CPPUNIT_TEST(concurrent_deliveries_start_once);
    CPPUNIT_TEST(first_outcome_is_final);
    CPPUNIT_TEST(oldest_bodies_are_evicted_first);
    CPPUNIT_TEST(refusal_by_full_table_is_final);
    CPPUNIT_TEST(purged_keys_do_not_start_again);
    CPPUNIT_TEST(intents_of_sealed_owner_are_refused);
    CPPUNIT_TEST(dropped_intent_yields_not_known);
    CPPUNIT_TEST(dropped_owner_stays_closed);
    CPPUNIT_TEST(retries_are_limited_to_a_share_of_requests);
    CPPUNIT_TEST(hedge_is_sent_after_95th_percentile);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two executions of a key when threads deliver the same request at the same
    // time.
    void concurrent_deliveries_start_once()
    {
        const system_clock time;
        operation_table table(time);
        constexpr std::uint64_t keys = 200;
        constexpr int callers = 8;
        std::atomic<int> starts = 0;
        std::atomic<int> answers = 0;
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int it = 0; it < callers; ++it) {
            threads.emplace_back([&] {
                for (std::uint64_t n = 1; n <= keys; ++n) {
                    const auto key = key_of(n);
                    const auto result = table.begin(key, valid);
                    if (const auto* started = std::get_if<operation_started>(&result)) {
                        ++starts;
                        table.finish(started->token, response(n));
                    }
                    const auto deadline = time.now() + std::chrono::seconds(30);
                    answers += table.wait(key, deadline) == response(n) ? 1 : 0;
                }
            });
        }
        for (auto& it : threads) {
            it.join();
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(keys), starts.load());
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(keys) * callers, answers.load());
    }

    // Guards against a second outcome or execution after an outcome was recorded.
    void first_outcome_is_final()
    {
        const manual_clock time;
        operation_table table(time);
        const auto result = table.begin(key_of(1), valid);
        const auto token = std::get<operation_started>(result).token;
        CPPUNIT_ASSERT(is<operation_in_progress>(table.begin(key_of(1), valid)));
        CPPUNIT_ASSERT(!table.wait(key_of(1), time.now()));
        CPPUNIT_ASSERT(!table.refuse(key_of(1), {"late"}));
        CPPUNIT_ASSERT(table.is_running(token));
        table.finish(token, make_not_run("shed"));
        table.finish(token, response(1));
        CPPUNIT_ASSERT(!table.is_running(token));
        const auto again = table.begin(key_of(1), expired);
        CPPUNIT_ASSERT(std::get<operation_finished>(again).result == make_not_run("shed"));

        table.refuse(key_of(2), {"refused"});
        CPPUNIT_ASSERT(is<operation_finished>(table.begin(key_of(2), valid)));
    }

    // Guards against response bodies beyond the limit of 250 bytes, and against evicting recent
    // ones.
    void oldest_bodies_are_evicted_first()
    {
        const manual_clock time;
        operation_table table(time, {100, 250, retention});
        const auto slow_token = std::get<operation_started>(table.begin(key_of(1), valid)).token;
        record_outcome(table, key_of(2), response(100));
        record_outcome(table, key_of(3), response(100));
        record_outcome(table, key_of(4), response(100));
        const auto outcome_of = [&](std::uint64_t number) {
            return std::get<operation_finished>(table.begin(key_of(number), valid)).result;
        };
        CPPUNIT_ASSERT(outcome_of(2) == make_unknown(reasons::response_dropped));
        CPPUNIT_ASSERT(outcome_of(3) == response(100));
        // Started first and finished last: its body is the oldest and must be evicted.
        table.finish(slow_token, response(100));
        CPPUNIT_ASSERT(outcome_of(1) == make_unknown(reasons::response_dropped));
        CPPUNIT_ASSERT(outcome_of(4) == response(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{200}, table.read_counts().body_bytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, table.read_counts().records);
    }

    // Guards against executing a key later that was refused by a full table, which has no record of
    // the refusal.
    void refusal_by_full_table_is_final()
    {
        manual_clock time;
        operation_table table(time, {1, 1000, retention});
        record_outcome(table, key_of(1), response(1));
        CPPUNIT_ASSERT(is<operation_table_full>(table.begin(key_of(2), valid)));
        time.advance(retention);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.purge());
        CPPUNIT_ASSERT(is<operation_table_full>(table.begin(key_of(2), valid)));
        CPPUNIT_ASSERT(is<operation_started>(table.begin(key_of(3), valid)));
    }

    // Guards against executing a key again after its record was purged.
    void purged_keys_do_not_start_again()
    {
        manual_clock time;
        operation_table table(time);
        record_outcome(table, key_of(1), response(1));
        time.advance(retention - std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.purge());
        time.advance(std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.purge());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.read_counts().body_bytes);
        CPPUNIT_ASSERT(is<operation_key_invalid>(table.begin(key_of(1), expired)));
    }

    // Guards against accepting intents after the seal, and against verdicts about keys of another
    // witness incarnation.
    void intents_of_sealed_owner_are_refused()
    {
        const manual_clock time;
        witness_table table(witness, time);
        CPPUNIT_ASSERT(table.record_intent(key_of(1)) == rpc::intent_verdict::accepted);
        CPPUNIT_ASSERT(table.record_intent(key_of(1)) == rpc::intent_verdict::accepted);
        CPPUNIT_ASSERT(table.seal(key_of(2)) == seal_verdict::never_dispatched);
        CPPUNIT_ASSERT(table.is_sealed(owner));
        CPPUNIT_ASSERT(table.record_intent(key_of(2)) == rpc::intent_verdict::sealed);
        CPPUNIT_ASSERT(table.seal(key_of(1)) == seal_verdict::intent_recorded);
        auto other = key_of(3);
        other.prefix.witness->run = incarnation(7);
        CPPUNIT_ASSERT(table.record_intent(other) == rpc::intent_verdict::not_the_witness);
        CPPUNIT_ASSERT(table.seal(other) == seal_verdict::not_the_witness);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.read_counts().intents);
    }

    // Guards against the verdict `never_dispatched` for a key whose intent was dropped.
    void dropped_intent_yields_not_known()
    {
        manual_clock time;
        witness_table table(witness, time);
        table.record_intent(key_of(5));
        time.advance(retention);
        table.record_intent(key_of(9));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.purge());
        CPPUNIT_ASSERT(table.seal(key_of(5)) == seal_verdict::not_known);
        CPPUNIT_ASSERT(table.seal(key_of(6)) == seal_verdict::never_dispatched);
        CPPUNIT_ASSERT(table.seal(key_of(9)) == seal_verdict::intent_recorded);
    }

    // Guards against `never_dispatched` for keys of an owner whose state was dropped.
    void dropped_owner_stays_closed()
    {
        manual_clock time;
        witness_table table(witness, time, {100, 2, retention});
        const auto key_from = [](std::uint64_t run) {
            auto it = key_of(1);
            it.prefix.owner.run = incarnation(run);
            return it;
        };
        for (std::uint64_t run = 10; run < 13; ++run) {
            CPPUNIT_ASSERT(table.record_intent(key_from(run)) == rpc::intent_verdict::accepted);
            time.advance(std::chrono::seconds(1));
        }
        CPPUNIT_ASSERT(table.seal(key_from(10)) == seal_verdict::not_known);
        CPPUNIT_ASSERT(table.record_intent(key_from(10)) == rpc::intent_verdict::sealed);
        CPPUNIT_ASSERT(table.seal(key_from(12)) == seal_verdict::intent_recorded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.read_counts().intents);
    }

    // Guards against more retries than a share of 0.1 of the requests, which would add to an
    // overload.
    void retries_are_limited_to_a_share_of_requests()
    {
        retry_budget budget(0.1, 5);
        CPPUNIT_ASSERT(!budget.try_spend());
        int spent = 0;
        for (int it = 0; it < 1000; ++it) {
            budget.on_request();
            spent += budget.try_spend() ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(100, spent);
        for (int it = 0; it < 1000; ++it) {
            budget.on_request();
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, budget.tokens(), 1e-6);
    }

    // Guards against hedges before the 95th percentile, 50 ms here, or too late to finish.
    void hedge_is_sent_after_95th_percentile()
    {
        hedge_timer timer;
        for (int it = 0; it < 10'000; ++it) {
            timer.observe(milliseconds(it % 100 < 90 ? 10 : 50));
        }
        CPPUNIT_ASSERT(timer.delay() > milliseconds(30));
        CPPUNIT_ASSERT(timer.delay() < milliseconds(60));
        const steady_time sent{};
        CPPUNIT_ASSERT(timer.hedge_at(sent, sent + milliseconds(500)) == sent + timer.delay());
        CPPUNIT_ASSERT(!timer.hedge_at(sent, sent + milliseconds(50)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_test);

} // namespace toucan::operations
