#include "support/deployment.h"
#include "support/test_caller.h"
#include "support/version_monitor.h"
#include "support/wait_until.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <thread>
#include <vector>

namespace toucan::test {

/// An accepted configuration comes into force at all daemons and never reverts, and a publication
/// reports its actual result.
class configuration_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_test);
    CPPUNIT_TEST(one_of_racing_publishers_wins_each_version);
    CPPUNIT_TEST(lost_publication_reply_is_resolved);
    CPPUNIT_TEST(late_write_is_not_reported_as_refused);
    CPPUNIT_TEST(publication_during_an_outage_is_not_accepted);
    CPPUNIT_TEST(version_reaches_all_daemons_without_the_store);
    CPPUNIT_TEST(partitioned_failure_domain_serves_and_catches_up);
    CPPUNIT_TEST(restarted_failure_domain_receives_the_version_from_peers);
    CPPUNIT_TEST(stale_replica_does_not_revert);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two publications that are both accepted for the same version: each one is
    // accepted (status 0) or reports a conflict (status 3).
    void one_of_racing_publishers_wins_each_version()
    {
        deployment system({});
        system.start();
        version_monitor monitor(system);
        std::uint64_t version = 1;
        for (int round = 0; round < 5; ++round) {
            std::vector<std::unique_ptr<child_process>> publishers;
            for (int it = 0; it < 4; ++it) {
                system.plan().services[0].rate = 100 + round * 10 + it;
                publishers.push_back(system.start_publish("operator-" + std::to_string(it)));
            }
            for (const auto& it : publishers) {
                const auto status = it->wait_exit(wait_deadline);
                CPPUNIT_ASSERT(status);
                CPPUNIT_ASSERT_MESSAGE(it->log_text(), *status == 0 || *status == 3);
                version += *status == 0 ? 1 : 0;
            }
            CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_version(version));
        }
        // At least one of the four publishers wins in each of the five rounds.
        CPPUNIT_ASSERT(version >= 6);
        expect_exact_version(system, version);
        CPPUNIT_ASSERT_EQUAL(std::string(), monitor.stop());
    }

    // Guards against a publication that is reported as failed although the store applied its write
    // of the head row.
    void lost_publication_reply_is_resolved()
    {
        deployment system({});
        system.start();
        system.set_platform_faults({{"lost_replies", 1}, {"key_prefix", "head"}});
        CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(system.publish()));
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_version(2));
        expect_exact_version(system, 2);
    }

    // Guards against a publication that is reported as refused and comes into force later, when the
    // store applies the delayed write.
    void late_write_is_not_reported_as_refused()
    {
        deployment system({});
        system.start();
        system.set_platform_faults(
            {{"late_writes", 1}, {"late_by_ms", 8000}, {"key_prefix", "head"}});
        const auto status = system.publish();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(static_cast<int>(status)),
                               status == publish_status::unconfirmed ||
                                   status == publish_status::accepted);
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_version(2));
    }

    // Guards against a publication that is reported as accepted although the store did not apply
    // it.
    void publication_during_an_outage_is_not_accepted()
    {
        deployment system({});
        system.start();
        system.set_platform_faults({{"outage", true}});
        const auto status = system.publish();
        CPPUNIT_ASSERT(status == publish_status::refused || status == publish_status::unconfirmed);
        system.set_platform_faults({{"outage", false}});
        // The stand-in applies nothing during an outage, so the next publication makes version 2.
        CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(system.publish()));
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_version(2));
        expect_exact_version(system, 2);
    }

    // Guards against daemons that receive a new configuration only from the store.
    void version_reaches_all_daemons_without_the_store()
    {
        deployment system(proxied_plan());
        system.start();
        version_monitor monitor(system);
        const auto north = system.entry_vms_of("north-a");
        // All routes to the south are blocked until the store is down, so that the south can
        // receive the version only from peers.
        system.set_platform_link("south-a", {{"blackhole", true}});
        system.set_link("north-a", "south-a", {{"blackhole", true}});
        CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(system.publish()));
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_version(2, north));
        system.set_platform_faults({{"outage", true}});
        system.set_platform_link("south-a", {{"blackhole", false}});
        system.set_link("north-a", "south-a", {{"blackhole", false}});
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_version(2));
        CPPUNIT_ASSERT_EQUAL(std::string(), monitor.stop());
    }

    // Guards against a failure domain that stops serving during a partition, or keeps the old
    // version after it.
    void partitioned_failure_domain_serves_and_catches_up()
    {
        deployment system(proxied_plan());
        system.start();
        version_monitor monitor(system);
        const auto south = system.entry_vms_of("south-a");
        system.set_platform_link("south-a", {{"cut", true}});
        system.set_link("north-a", "south-a", {{"cut", true}});
        CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(system.publish()));
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(),
                               system.wait_version(2, system.entry_vms_of("north-a")));
        // Checks that the partition works: the south does not have the new version.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, system.version_at(south.front()));
        test_caller caller("south", {system.entry_vms()[south.front()].http}, "checkdesk",
                           client_block_of(1), 1);
        CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                             std::string(to_string(caller.call({}).result)));
        system.set_platform_link("south-a", {{"cut", false}});
        system.set_link("north-a", "south-a", {{"cut", false}});
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_version(2));
        CPPUNIT_ASSERT_EQUAL(std::string(), monitor.stop());
    }

    // Guards against restarted daemons that get no configuration while the store is down.
    void restarted_failure_domain_receives_the_version_from_peers()
    {
        deployment system(proxied_plan());
        system.start();
        CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(system.publish()));
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_version(2));
        version_monitor monitor(system);
        system.set_platform_faults({{"outage", true}});
        const auto south = system.entry_vms_of("south-a");
        for (const auto it : south) {
            system.entry_vms()[it].process->kill();
        }
        for (const auto it : south) {
            system.start_daemon(it);
        }
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_ready(south));
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_version(2, south));
        CPPUNIT_ASSERT_EQUAL(std::string(), monitor.stop());
    }

    // Guards against a return to an older version when the store reads from a replica that lags
    // behind.
    void stale_replica_does_not_revert()
    {
        deployment system({});
        system.start();
        for (int it = 0; it < 2; ++it) {
            CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(system.publish()));
        }
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_version(3));
        version_monitor monitor(system);
        system.set_platform_faults({{"stale_revisions", 1}});
        // Several polls of the head row read the old row.
        std::this_thread::sleep_for(std::chrono::seconds(3));
        expect_exact_version(system, 3);
        // A restarted process receives the version from its peers, although the store returns an
        // old one.
        system.entry_vms()[0].process->kill();
        system.start_daemon(0);
        CPPUNIT_ASSERT_MESSAGE(system.log_tails(), system.wait_version(3));
        system.set_platform_faults({{"stale_revisions", 0}});
        expect_exact_version(system, 3);
        CPPUNIT_ASSERT_EQUAL(std::string(), monitor.stop());
    }

private:
    static deployment_plan proxied_plan()
    {
        deployment_plan out;
        out.proxied = true;
        return out;
    }
    static void expect_exact_version(deployment& system, std::uint64_t version)
    {
        for (std::size_t it = 0; it < system.entry_vms().size(); ++it) {
            CPPUNIT_ASSERT_EQUAL(version, system.version_at(it));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_test);

} // namespace toucan::test
