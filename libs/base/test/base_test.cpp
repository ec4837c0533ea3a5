#include "toucan/base/content_hash.h"
#include "toucan/base/incarnation.h"
#include "toucan/base/last_reason.h"
#include "toucan/base/manual_clock.h"
#include "toucan/base/metrics.h"
#include "toucan/base/rendezvous.h"
#include "toucan/base/stable_hash.h"
#include "toucan/base/vm_address.h"
#include "toucan/base/worker_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

namespace toucan {

class base_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(base_test);
    CPPUNIT_TEST(address_round_trip);
    CPPUNIT_TEST(address_rejects_malformed_text);
    CPPUNIT_TEST(later_incarnation_is_higher);
    CPPUNIT_TEST(hashes_are_deterministic);
    CPPUNIT_TEST(removed_candidate_loses_only_its_own_keys);
    CPPUNIT_TEST(pool_destructor_runs_queued_tasks);
    CPPUNIT_TEST(summary_reports_count_and_maximum);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against addresses that change when they are formatted and parsed again.
    void address_round_trip()
    {
        const auto address = vm_address::parse("127.1.2.3:8080");
        CPPUNIT_ASSERT(address);
        CPPUNIT_ASSERT_EQUAL(std::string("127.1.2.3:8080"), address->to_string());
    }

    // Missing, zero, too large or non-numeric ports and malformed addresses must be rejected: a
    // silently accepted one would misconfigure a daemon.
    void address_rejects_malformed_text()
    {
        for (const auto* it : {"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "x:1", "1.2.3:4",
                               "127.0.0.1:80x"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !vm_address::parse(it));
            CPPUNIT_ASSERT(!last_reason().empty());
        }
    }

    // Guards against a high salt that makes an earlier incarnation compare higher than a later one.
    void later_incarnation_is_higher()
    {
        manual_clock time;
        const auto first = incarnation::start(time.wall_now(), 1023);
        time.advance(milliseconds(1));
        const auto second = incarnation::start(time.wall_now(), 0);
        CPPUNIT_ASSERT(first < second);
        CPPUNIT_ASSERT(incarnation::parse(second.to_string()) == second);
    }

    // A hash that differs between processes would make daemons disagree on homes and gateways.
    void hashes_are_deterministic()
    {
        CPPUNIT_ASSERT_EQUAL(stable_hash("abc", 1), stable_hash("abc", 1));
        CPPUNIT_ASSERT(stable_hash("abc", 1) != stable_hash("abc", 2));
        CPPUNIT_ASSERT_EQUAL(
            std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
            content_hash("abc"));
    }

    // Guards against reassigning keys between remaining candidates when another candidate is
    // removed.
    void removed_candidate_loses_only_its_own_keys()
    {
        std::vector<vm_address> candidates;
        for (std::uint16_t it = 1; it <= 8; ++it) {
            candidates.emplace_back(0x7f000001U, it);
        }
        auto remaining = candidates;
        remaining.pop_back();
        for (int it = 0; it < 200; ++it) {
            const auto key = std::to_string(it);
            const auto before = rendezvous_order(key, candidates, 1).front();
            const auto after = rendezvous_order(key, remaining, 1).front();
            CPPUNIT_ASSERT(before == candidates.back() || before == after);
        }
    }

    // Guards against dropping queued tasks when the pool is destroyed.
    void pool_destructor_runs_queued_tasks()
    {
        std::atomic<int> tasks_run = 0;
        {
            worker_pool pool(4, 1000);
            for (int it = 0; it < 500; ++it) {
                CPPUNIT_ASSERT(pool.submit([&tasks_run] { ++tasks_run; }));
            }
        }
        CPPUNIT_ASSERT_EQUAL(500, tasks_run.load());
    }

    // Guards against wrong units or quantiles in reported durations.
    void summary_reports_count_and_maximum()
    {
        metrics registry;
        auto& summary = registry.summary("toucan_test_ms");
        for (int it = 1; it <= 100; ++it) {
            summary.add(milliseconds(it));
        }
        const auto values = summary.read();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, values.count);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, values.max_ms, 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, values.p50_ms, 5.0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(base_test);

} // namespace toucan
