#include "peer_sync.h"
#include "scripted_client.h"

#include "toucan/base/manual_clock.h"
#include "toucan/membership/self_description_builder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>

namespace toucan::daemon {

class peer_sync_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_sync_test);
    CPPUNIT_TEST(timeout_marks_peer_as_failing);
    CPPUNIT_TEST(timeout_during_process_pause_is_ignored);
    CPPUNIT_TEST_SUITE_END();

    static bool is_failing_after(std::chrono::milliseconds call_duration)
    {
        const vm_address self(0x7f000001U, 1);
        const vm_address peer(0x7f000001U, 2);
        manual_clock time;
        membership::member_table table(
            membership::self_description_builder()
                .id({self, incarnation(1)})
                .location(failure_domain_name("west-a"), region_name("west"))
                .build(),
            time);
        table.set_seeds({peer});
        membership::sync_scheduler scheduler;
        scripted_client client;
        client.on_sync = [&] {
            time.advance(call_duration);
            return scripted_client::failure();
        };
        auto workers = std::make_unique<worker_pool>(1, 10);
        peer_sync sync(time, table, scheduler, client, *workers, [](vm_address) {});
        sync.tick();
        // The pool runs all queued tasks before it is destroyed.
        workers.reset();
        return table.view()->failing_peers.count(peer) > 0;
    }

public:
    // Guards against a peer that does not answer being considered reachable.
    void timeout_marks_peer_as_failing()
    {
        CPPUNIT_ASSERT(is_failing_after(std::chrono::milliseconds(1000)));
    }

    // Guards against a resumed daemon that concludes that it is alone: the syncs that were in
    // progress when the process was paused all time out at once.
    void timeout_during_process_pause_is_ignored()
    {
        CPPUNIT_ASSERT(!is_failing_after(std::chrono::milliseconds(3000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_sync_test);

} // namespace toucan::daemon
