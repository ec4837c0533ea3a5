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
constexpr std::chrono::minutes hold{15};

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

void run_one(operation_table& table, const operation_key& key, const outcome& result)
{
    table.finish(std::get<operation_started>(table.begin(key, valid)).token, result);
}

} // namespace

class table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(table_test);
    CPPUNIT_TEST(one_of_many_threads_starts);
    CPPUNIT_TEST(first_outcome_is_final);
    CPPUNIT_TEST(oldest_bodies_are_dropped_first);
    CPPUNIT_TEST(refusal_of_a_full_table_is_final);
    CPPUNIT_TEST(purged_keys_do_not_start_again);
    CPPUNIT_TEST(sealed_owner_is_refused);
    CPPUNIT_TEST(dropped_intent_is_not_forgotten);
    CPPUNIT_TEST(dropped_owner_stays_closed);
    CPPUNIT_TEST(retries_are_a_share_of_requests);
    CPPUNIT_TEST(hedge_waits_for_the_slow_tail);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a race between two deliveries of the same request.
    void one_of_many_threads_starts()
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

    void first_outcome_is_final()
    {
        const manual_clock time;
        operation_table table(time);
        const auto begun = table.begin(key_of(1), valid);
        const auto token = std::get<operation_started>(begun).token;
        CPPUNIT_ASSERT(is<operation_in_progress>(table.begin(key_of(1), valid)));
        CPPUNIT_ASSERT(!table.wait(key_of(1), time.now()));
        CPPUNIT_ASSERT(!table.refuse(key_of(1), {"late"}));
        CPPUNIT_ASSERT(table.is_running(token));
        table.finish(token, refuse("shed"));
        table.finish(token, response(1));
        CPPUNIT_ASSERT(!table.is_running(token));
        const auto again = table.begin(key_of(1), expired);
        CPPUNIT_ASSERT(std::get<operation_finished>(again).result == refuse("shed"));

        table.refuse(key_of(2), {"refused"});
        CPPUNIT_ASSERT(is<operation_finished>(table.begin(key_of(2), valid)));
    }

    void oldest_bodies_are_dropped_first()
    {
        const manual_clock time;
        operation_table table(time, {100, 250, hold});
        const auto slow = std::get<operation_started>(table.begin(key_of(1), valid)).token;
        run_one(table, key_of(2), response(100));
        run_one(table, key_of(3), response(100));
        run_one(table, key_of(4), response(100));
        const auto held = [&](std::uint64_t number) {
            return std::get<operation_finished>(table.begin(key_of(number), valid)).result;
        };
        CPPUNIT_ASSERT(held(2) == not_known(reasons::response_dropped));
        CPPUNIT_ASSERT(held(3) == response(100));
        // Started first and finished last: it is the oldest, and its body must not stay for good.
        table.finish(slow, response(100));
        CPPUNIT_ASSERT(held(1) == not_known(reasons::response_dropped));
        CPPUNIT_ASSERT(held(4) == response(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{200}, table.read_counts().body_bytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, table.read_counts().records);
    }

    // Guards against running a key whose refusal could not be recorded for lack of room.
    void refusal_of_a_full_table_is_final()
    {
        manual_clock time;
        operation_table table(time, {1, 1000, hold});
        run_one(table, key_of(1), response(1));
        CPPUNIT_ASSERT(is<operation_table_full>(table.begin(key_of(2), valid)));
        time.advance(hold);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.purge());
        CPPUNIT_ASSERT(is<operation_table_full>(table.begin(key_of(2), valid)));
        CPPUNIT_ASSERT(is<operation_started>(table.begin(key_of(3), valid)));
    }

    void purged_keys_do_not_start_again()
    {
        manual_clock time;
        operation_table table(time);
        run_one(table, key_of(1), response(1));
        time.advance(hold - std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.purge());
        time.advance(std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.purge());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.read_counts().body_bytes);
        CPPUNIT_ASSERT(is<operation_expired>(table.begin(key_of(1), expired)));
    }

    void sealed_owner_is_refused()
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

    // Guards against calling a key never dispatched after its intent was dropped.
    void dropped_intent_is_not_forgotten()
    {
        manual_clock time;
        witness_table table(witness, time);
        table.record_intent(key_of(5));
        time.advance(hold);
        table.record_intent(key_of(9));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.purge());
        CPPUNIT_ASSERT(table.seal(key_of(5)) == seal_verdict::not_known);
        CPPUNIT_ASSERT(table.seal(key_of(6)) == seal_verdict::never_dispatched);
        CPPUNIT_ASSERT(table.seal(key_of(9)) == seal_verdict::intent_recorded);
    }

    void dropped_owner_stays_closed()
    {
        manual_clock time;
        witness_table table(witness, time, {100, 2, hold});
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

    // Guards against retries that add to an overload without bound.
    void retries_are_a_share_of_requests()
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

    void hedge_waits_for_the_slow_tail()
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
