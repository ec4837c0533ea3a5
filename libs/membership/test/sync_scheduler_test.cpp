#include "toucan/membership/sync_scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>

namespace toucan::membership {

class sync_scheduler_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sync_scheduler_test);
    CPPUNIT_TEST(domain_without_ready_members_is_contacted);
    CPPUNIT_TEST(seeds_of_other_domains_are_skipped);
    CPPUNIT_TEST_SUITE_END();

    static vm_address address(std::uint16_t port) { return {0x7f000001U, port}; }

    static rpc::member_entry member(std::uint16_t port)
    {
        rpc::member_entry it;
        it.id = {address(port), incarnation(port)};
        it.failure_domain = failure_domain_name("north-a");
        it.state = rpc::member_state::ready;
        return it;
    }

    /// Two ready members of north-a, and a summary of south-a that names no entry VM.
    static member_view view(std::vector<vm_address> seeds)
    {
        member_view it;
        it.self = member(1);
        it.members.push_back({member(2), true, steady_time()});
        it.entry_vms = {{it.self.id, 80}, {it.members.front().entry.id, 80}};
        auto summary = std::make_shared<rpc::domain_summary>();
        summary->failure_domain = failure_domain_name("south-a");
        summary->writer = {address(11), incarnation(11)};
        it.summaries.push_back({summary, true});
        it.seeds = std::move(seeds);
        return it;
    }

    static bool is_due(const member_view& it, vm_address peer)
    {
        sync_scheduler scheduler;
        const auto due = scheduler.due(it, steady_time(std::chrono::hours(1)));
        return std::find(due.begin(), due.end(), peer) != due.end();
    }

public:
    // Guards against two failure domains that start at the same time and never exchange summaries
    // again, because their gateways contact seeds of their own failure domain.
    void domain_without_ready_members_is_contacted()
    {
        CPPUNIT_ASSERT(is_due(view({address(1), address(2)}), address(11)));
    }

    // Guards against contacting a seed that is known to be in another failure domain.
    void seeds_of_other_domains_are_skipped()
    {
        auto it = view({address(1), address(2), address(12)});
        it.failing_peers.insert(address(11));
        CPPUNIT_ASSERT(is_due(it, address(12)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sync_scheduler_test);

} // namespace toucan::membership
