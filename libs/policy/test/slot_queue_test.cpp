#include "toucan/policy/slot_queue.h"

#include "seeds.h"

#include "toucan/base/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

namespace toucan::policy {

using steering::request_class;

class slot_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slot_queue_test);
    CPPUNIT_TEST(never_exceeds_slots_or_loses_a_request);
    CPPUNIT_TEST(urgent_goes_before_deferrable);
    CPPUNIT_TEST(deferrable_does_not_starve);
    CPPUNIT_TEST(request_that_cannot_meet_its_deadline_is_refused);
    CPPUNIT_TEST(full_queue_refuses_deferrable_first);
    CPPUNIT_TEST(reserved_slots_stay_free_for_credit);
    CPPUNIT_TEST(new_home_counts_requests_of_its_predecessor);
    CPPUNIT_TEST(cold_backend_server_ramps_up);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    std::uint64_t next_id_ = 1;

    admission_request request(request_class priority, milliseconds budget, std::uint64_t credit = 0)
    {
        return {next_id_++, priority, time_.now(), time_.now() + budget, credit};
    }

    slot_queue queue_of(std::uint32_t slots, double per_slot = 100)
    {
        slot_queue_settings settings;
        settings.slots = slots;
        settings.headroom = 1;
        settings.queue_per_slot = per_slot;
        return {settings, time_.now(), false};
    }

public:
    // Guards against more requests in progress than slots, and against requests that are neither
    // started nor refused.
    void never_exceeds_slots_or_loses_a_request()
    {
        for_each_seed("slots bound", [&](std::mt19937_64& random) {
            auto queue = queue_of(5, 3);
            std::set<std::uint64_t> running;
            std::set<std::uint64_t> waiting;
            const auto apply = [&](const slot_changes& it) {
                for (const auto id : it.started) {
                    CPPUNIT_ASSERT(waiting.erase(id) == 1);
                    running.insert(id);
                }
                for (const auto& refused : it.refused) {
                    CPPUNIT_ASSERT(waiting.erase(refused.id) == 1);
                }
            };
            for (int step = 0; step < 20'000; ++step) {
                time_.advance(milliseconds(draw(random, 4)));
                if (draw(random, 3) != 0) {
                    const auto priority =
                        draw(random, 2) == 0 ? request_class::urgent : request_class::deferrable;
                    const auto it = request(priority, milliseconds(draw(random, 300)));
                    const auto result = queue.admit(it, time_.now());
                    apply(result.others);
                    if (std::holds_alternative<admitted>(result.decision)) {
                        running.insert(it.id);
                    }
                    else if (std::holds_alternative<queued>(result.decision)) {
                        waiting.insert(it.id);
                    }
                }
                else if (!running.empty()) {
                    auto it = running.begin();
                    std::advance(it, draw(random, static_cast<unsigned>(running.size())));
                    const auto id = *it;
                    running.erase(it);
                    apply(queue.release(id, milliseconds(1 + draw(random, 40)), time_.now()));
                }
                CPPUNIT_ASSERT(running.size() <= 5);
                CPPUNIT_ASSERT_EQUAL(running.size(), std::size_t{queue.in_use(time_.now())});
                CPPUNIT_ASSERT_EQUAL(waiting.size(), std::size_t{queue.waiting()});
                CPPUNIT_ASSERT(waiting.size() <= 15);
            }
        });
    }

    // Guards against deferrable requests that start before urgent ones, and against urgent ones
    // that start out of deadline order.
    void urgent_goes_before_deferrable()
    {
        auto queue = queue_of(1);
        const auto first = request(request_class::urgent, milliseconds(900));
        const auto deferrable = request(request_class::deferrable, milliseconds(900));
        const auto late = request(request_class::urgent, milliseconds(900));
        const auto early = request(request_class::urgent, milliseconds(800));
        for (const auto& it : {first, deferrable, late, early}) {
            (void)queue.admit(it, time_.now());
        }
        auto running = first.id;
        for (const auto id : {early.id, late.id, deferrable.id}) {
            const auto changes = queue.release(running, milliseconds(20), time_.now());
            CPPUNIT_ASSERT(changes.started == std::vector<std::uint64_t>{id});
            running = id;
        }
    }

    // Guards against a deferrable request that waits behind newer urgent requests until its
    // deadline.
    void deferrable_does_not_starve()
    {
        auto queue = queue_of(1);
        std::uint64_t running = request(request_class::urgent, milliseconds(1000)).id;
        (void)queue.admit(
            {running, request_class::urgent, time_.now(), time_.now() + milliseconds(1000), 0},
            time_.now());
        const auto deferrable = request(request_class::deferrable, milliseconds(1000));
        (void)queue.admit(deferrable, time_.now());
        bool served = false;
        for (int step = 0; step < 60 && !served; ++step) {
            // Two urgent requests arrive for each one that ends.
            (void)queue.admit(request(request_class::urgent, milliseconds(600)), time_.now());
            (void)queue.admit(request(request_class::urgent, milliseconds(600)), time_.now());
            time_.advance(milliseconds(20));
            const auto changes = queue.release(running, milliseconds(20), time_.now());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.started.size());
            running = changes.started.front();
            served = running == deferrable.id;
        }
        CPPUNIT_ASSERT(served);
    }

    // Guards against queueing a request that cannot be served before its deadline.
    void request_that_cannot_meet_its_deadline_is_refused()
    {
        auto queue = queue_of(1);
        for (int n = 0; n < 10; ++n) {
            (void)queue.admit(request(request_class::urgent, milliseconds(1000)), time_.now());
        }
        // Nine queued requests of 20 ms precede it: 200 ms of waiting and 20 ms of service.
        const auto late = request(request_class::deferrable, milliseconds(219));
        const auto answer = queue.admit(late, time_.now());
        const auto* why = std::get_if<refuse>(&answer.decision);
        CPPUNIT_ASSERT(why != nullptr && why->reason == refusal_reason::deadline);
        CPPUNIT_ASSERT(why->retry_after.count() > 0);
        const auto in_time = request(request_class::deferrable, milliseconds(221));
        CPPUNIT_ASSERT(std::holds_alternative<queued>(queue.admit(in_time, time_.now()).decision));
    }

    // Guards against refusing urgent requests while deferrable ones are queued.
    void full_queue_refuses_deferrable_first()
    {
        auto queue = queue_of(1, 2);
        (void)queue.admit(request(request_class::urgent, milliseconds(1000)), time_.now());
        const auto one = request(request_class::deferrable, milliseconds(1000));
        const auto two = request(request_class::deferrable, milliseconds(1500));
        (void)queue.admit(one, time_.now());
        (void)queue.admit(two, time_.now());
        const auto more =
            queue.admit(request(request_class::deferrable, milliseconds(1800)), time_.now());
        CPPUNIT_ASSERT(std::holds_alternative<refuse>(more.decision));
        const auto result =
            queue.admit(request(request_class::urgent, milliseconds(1000)), time_.now());
        CPPUNIT_ASSERT(std::holds_alternative<queued>(result.decision));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.others.refused.size());
        CPPUNIT_ASSERT_EQUAL(two.id, result.others.refused.front().id);
    }

    // Guards against local requests that take the slots reserved for credit.
    void reserved_slots_stay_free_for_credit()
    {
        auto queue = queue_of(3);
        queue.reserve(2);
        const auto admits = [&](std::uint64_t credit) {
            const auto it = request(request_class::urgent, milliseconds(1000), credit);
            return std::holds_alternative<admitted>(queue.admit(it, time_.now()).decision);
        };
        CPPUNIT_ASSERT(admits(0));
        CPPUNIT_ASSERT(!admits(0));
        CPPUNIT_ASSERT(admits(7));
        CPPUNIT_ASSERT_EQUAL(1U, queue.local_in_use(time_.now()));
    }

    // Guards against a new home that fills slots still occupied by requests of its predecessor.
    void new_home_counts_requests_of_its_predecessor()
    {
        auto queue = queue_of(4);
        queue.set_reported_in_use(3, time_.now());
        const auto admits = [&] {
            const auto it = request(request_class::urgent, milliseconds(5000));
            return std::holds_alternative<admitted>(queue.admit(it, time_.now()).decision);
        };
        CPPUNIT_ASSERT(admits());
        CPPUNIT_ASSERT(!admits());
        queue.set_reported_in_use(2, time_.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.expire(time_.now()).started.size());
        CPPUNIT_ASSERT_EQUAL(3U, queue.in_use(time_.now()));
    }

    // Guards against full load on a server with cold caches.
    void cold_backend_server_ramps_up()
    {
        slot_queue_settings settings;
        settings.slots = 10;
        settings.headroom = 0.8;
        settings.warm_up = std::chrono::seconds(10);
        slot_queue queue(settings, time_.now(), true);
        std::uint32_t last = 0;
        for (int step = 0; step <= 10; ++step) {
            const auto slots = queue.admitted_slots(time_.now());
            CPPUNIT_ASSERT(slots >= std::max(last, 1U));
            CPPUNIT_ASSERT(slots <= 2U + static_cast<unsigned>(step));
            last = slots;
            time_.advance(std::chrono::seconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(8U, last);
        queue.restart(time_.now());
        CPPUNIT_ASSERT_EQUAL(2U, queue.admitted_slots(time_.now()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_queue_test);

} // namespace toucan::policy
