#include "peer_sync.h"

#include "toucan/base/manual_clock.h"
#include "toucan/membership/self_description_builder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>

namespace toucan::daemon {

namespace {

/// Fails every call after a given time on the clock.
class failing_client final : public rpc::daemon_client {
public:
    failing_client(manual_clock& time, std::chrono::milliseconds takes)
        : clock_(time), takes_(takes)
    {
    }

    rpc::rpc_result<rpc::sync_reply> sync(vm_address /*peer*/, const rpc::sync_request& /*request*/,
                                          duration /*timeout*/) override
    {
        clock_.advance(takes_);
        return failure();
    }
    rpc::rpc_result<rpc::forward_reply> forward(vm_address /*peer*/,
                                                const rpc::forward_request& /*request*/,
                                                duration /*timeout*/) override
    {
        return failure();
    }
    rpc::rpc_result<rpc::fetch_reply>
    fetch(vm_address /*peer*/, const rpc::fetch_request& /*request*/, duration /*timeout*/) override
    {
        return failure();
    }
    rpc::rpc_result<rpc::intent_reply> record_intent(vm_address /*peer*/,
                                                     const rpc::intent_request& /*request*/,
                                                     duration /*timeout*/) override
    {
        return failure();
    }
    rpc::rpc_result<rpc::credit_reply> request_credit(vm_address /*peer*/,
                                                      const rpc::credit_request& /*request*/,
                                                      duration /*timeout*/) override
    {
        return failure();
    }

private:
    static rpc::rpc_error failure() { return {rpc::rpc_failure::no_reply, "timeout"}; }

    manual_clock& clock_;
    std::chrono::milliseconds takes_;
};

} // namespace

class peer_sync_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_sync_test);
    CPPUNIT_TEST(timeout_counts_against_the_peer);
    CPPUNIT_TEST(timeout_of_a_paused_process_does_not);
    CPPUNIT_TEST_SUITE_END();

    static bool is_failing_after(std::chrono::milliseconds takes)
    {
        const vm_address self(0x7f000001U, 1);
        const vm_address peer(0x7f000001U, 2);
        manual_clock time;
        membership::member_table table(
            membership::self_description_builder()
                .id({self, incarnation(1)})
                .place(failure_domain_name("west-a"), region_name("west"))
                .build(),
            time);
        table.set_seeds({peer});
        membership::sync_scheduler scheduler;
        failing_client client(time, takes);
        auto workers = std::make_unique<worker_pool>(1, 10);
        peer_sync sync(time, table, scheduler, client, *workers, [](vm_address) {});
        sync.tick();
        // The pool runs what is queued before it ends.
        workers.reset();
        return table.view()->failing.count(peer) > 0;
    }

public:
    void timeout_counts_against_the_peer()
    {
        CPPUNIT_ASSERT(is_failing_after(std::chrono::milliseconds(1000)));
    }

    // Guards against a resumed daemon that believes to be alone, because the calls that were under
    // way when it was paused all time out at once.
    void timeout_of_a_paused_process_does_not()
    {
        CPPUNIT_ASSERT(!is_failing_after(std::chrono::milliseconds(3000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_sync_test);

} // namespace toucan::daemon
