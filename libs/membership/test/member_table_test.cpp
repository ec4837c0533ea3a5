#include "toucan/base/config.h"
#include "toucan/base/manual_clock.h"
#include "toucan/membership/gateway_selection.h"
#include "toucan/membership/head_reader_selection.h"
#include "toucan/membership/home_selection.h"
#include "toucan/membership/member_table.h"
#include "toucan/membership/self_description_builder.h"
#include "toucan/membership/sync_scheduler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <random>

namespace toucan::membership {

namespace {

constexpr milliseconds step{100};

/// Daemons that exchange syncs in memory on a manual clock. `drops` selects the messages to drop.
class test_cluster {
public:
    struct node {
        std::unique_ptr<member_table> table;
        sync_scheduler scheduler;
        failure_domain_name domain;
        bool running = true;
    };

    static vm_address address(std::uint32_t n) { return {0x7f000001U + n, 4000}; }

    void start(std::uint32_t n, const std::string& domain, std::uint64_t run)
    {
        auto& it = nodes[address(n)];
        it.table = std::make_unique<member_table>(
            self_description_builder()
                .id({address(n), incarnation(run)})
                .http_port(80)
                .location(failure_domain_name(domain), region_name(domain.substr(0, 1)))
                .build(),
            time);
        it.scheduler = {};
        it.domain = failure_domain_name(domain);
        it.running = true;
        it.table->set_state(rpc::member_state::ready);
        it.table->set_seeds({address(0), address(1)});
    }

    void run(milliseconds span)
    {
        for (milliseconds at{0}; at < span; at += step) {
            time.advance(step);
            for (auto& [from, it] : nodes) {
                if (it.running) {
                    sync_due(from, it);
                }
            }
        }
    }

    std::shared_ptr<const member_view> view(std::uint32_t n) const
    {
        return nodes.at(address(n)).table->view();
    }
    member_table& table(std::uint32_t n) { return *nodes.at(address(n)).table; }

    manual_clock time;
    std::map<vm_address, node> nodes;
    std::function<bool(vm_address, vm_address)> drops = [](auto, auto) {
        return false;
    };

private:
    void sync_due(vm_address from, node& it)
    {
        for (const auto& to : it.scheduler.due(*it.table->view(), time.now())) {
            const auto peer = nodes.find(to);
            const auto request = it.table->make_sync_request(to);
            if (peer == nodes.end() || !peer->second.running || drops(from, to)) {
                it.table->record_sync_failure(to);
                continue;
            }
            const auto reply = peer->second.table->handle_sync(request);
            if (drops(to, from)) {
                it.table->record_sync_failure(to);
                continue;
            }
            it.table->apply_sync_reply(to, reply);
        }
    }
};

std::size_t reachable_members(const member_view& view)
{
    return static_cast<std::size_t>(std::count_if(view.members.begin(), view.members.end(),
                                                  [](const auto& it) { return it.reachable; }));
}

const member_status* find(const member_view& view, vm_address address)
{
    for (const auto& it : view.members) {
        if (it.entry.id.address == address) {
            return &it;
        }
    }
    return nullptr;
}

/// Four daemons in each of three failure domains; daemons 0 and 1 are the seeds.
void start_three_domains(test_cluster& daemons)
{
    for (std::uint32_t it = 0; it < 12; ++it) {
        daemons.start(it, std::string(1, char('a' + it % 3)), 100 + it);
    }
}

} // namespace

class member_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(member_table_test);
    CPPUNIT_TEST(domains_and_summaries_converge);
    CPPUNIT_TEST(lossy_network_converges);
    CPPUNIT_TEST(changes_of_homes_are_merged);
    CPPUNIT_TEST(unreachability_is_local_and_direct);
    CPPUNIT_TEST(old_incarnation_does_not_replace_new_one);
    CPPUNIT_TEST(restarted_member_gets_complete_state);
    CPPUNIT_TEST(members_converge_after_partition);
    CPPUNIT_TEST(resumed_daemon_is_not_home_before_its_first_sync);
    CPPUNIT_TEST(single_daemon_is_home);
    CPPUNIT_TEST(leaving_signal_lasts_for_the_incarnation);
    CPPUNIT_TEST(summary_of_restarted_writer_is_newer);
    CPPUNIT_TEST(expired_summary_is_kept);
    CPPUNIT_TEST(config_version_reaches_all_members);
    CPPUNIT_TEST(selections_agree_and_skip_failing_peers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against members or failure domains that never discover each other, and against entries
    // that expire in a steady state.
    void domains_and_summaries_converge()
    {
        test_cluster daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(10'000));
        check_converged(daemons);
        daemons.run(milliseconds(30'000));
        check_converged(daemons);
    }

    // Guards against members, summaries and loads that stay missing after a third of the messages
    // was dropped for a while.
    void lossy_network_converges()
    {
        constexpr unsigned seed = 7;
        std::cerr << "seed " << seed << '\n';
        std::mt19937 random(seed);
        test_cluster daemons;
        start_three_domains(daemons);
        daemons.drops = [&](auto, auto) {
            return random() % 3 == 0;
        };
        daemons.run(milliseconds(20'000));
        daemons.table(5).set_home_loads({{backend_server_name("b"), 3, 2, 1}});
        daemons.run(milliseconds(5'000));
        daemons.drops = [](auto, auto) {
            return false;
        };
        daemons.run(milliseconds(8'000));
        check_converged(daemons);
        for (const auto other : {2U, 8U, 11U}) {
            const auto view = daemons.view(other);
            CPPUNIT_ASSERT(find(*view, test_cluster::address(5))->entry.homes ==
                           daemons.view(5)->self.homes);
        }
    }

    // Guards against homes that are lost, not updated or never removed at a receiver, because syncs
    // contain only the changes.
    void changes_of_homes_are_merged()
    {
        test_cluster daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(5'000));
        const backend_server_name first("b1");
        const backend_server_name second("b2");
        const auto received_homes = [&] {
            return find(*daemons.view(3), test_cluster::address(0))->entry.homes;
        };
        using loads = std::vector<rpc::backend_load>;
        daemons.table(0).set_home_loads({{first, 8, 4, 0}, {second, 8, 4, 0}});
        daemons.run(milliseconds(1'000));
        CPPUNIT_ASSERT((received_homes() == loads{{first, 8, 4, 0}, {second, 8, 4, 0}}));

        // One of eight slots is below the threshold for an immediate update; two of eight reach it.
        daemons.table(0).set_home_loads({{first, 8, 5, 0}, {second, 8, 6, 0}});
        const auto request = daemons.table(0).make_sync_request(test_cluster::address(3));
        CPPUNIT_ASSERT((request.sender.homes == loads{{second, 8, 6, 0}}));
        CPPUNIT_ASSERT(request.sender.homes_since > 0);
        daemons.run(milliseconds(1'000));
        CPPUNIT_ASSERT((received_homes() == loads{{first, 8, 4, 0}, {second, 8, 6, 0}}));
        daemons.run(milliseconds(1'500));
        daemons.table(0).set_home_loads({{first, 8, 5, 0}, {second, 8, 6, 0}});
        daemons.run(milliseconds(1'000));
        CPPUNIT_ASSERT((received_homes() == loads{{first, 8, 5, 0}, {second, 8, 6, 0}}));

        daemons.table(0).set_home_loads({{second, 8, 6, 0}});
        daemons.run(milliseconds(1'000));
        CPPUNIT_ASSERT((received_homes() == loads{{second, 8, 6, 0}}));

        // A receiver without the entry that the changes are based on asks for the complete entry.
        auto without_base = daemons.table(0).make_sync_request(test_cluster::address(3));
        without_base.sender = daemons.view(0)->self;
        without_base.sender.homes = {{first, 8, 1, 0}};
        without_base.sender.homes_since = without_base.sender.sequence + 10;
        without_base.sender.sequence += 20;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, daemons.table(3).handle_sync(without_base).revision);
        CPPUNIT_ASSERT((received_homes() == loads{{second, 8, 6, 0}}));
    }

    // Guards against a member that counts as unreachable at all daemons because one cannot reach
    // it, and against entries received through others that make it count as reachable.
    void unreachability_is_local_and_direct()
    {
        test_cluster daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(5'000));
        const auto is_cut_link = [](vm_address lhs, vm_address rhs) {
            return std::minmax(lhs, rhs) ==
                   std::minmax(test_cluster::address(0), test_cluster::address(3));
        };
        daemons.drops = is_cut_link;
        for (int it = 0; it < 10; ++it) {
            daemons.table(3).record_leaving({backend_server_name(fmt::format("b{}", it)), {}});
            daemons.run(milliseconds(500));
        }
        const auto view_of_cut_daemon = daemons.view(0);
        CPPUNIT_ASSERT(!find(*view_of_cut_daemon, test_cluster::address(3))->reachable);
        // The entry still arrives through the other members.
        CPPUNIT_ASSERT(find(*view_of_cut_daemon, test_cluster::address(3))->entry.leaving.size() >=
                       9);
        CPPUNIT_ASSERT(find(*daemons.view(6), test_cluster::address(3))->reachable);
        CPPUNIT_ASSERT(find(*daemons.view(6), test_cluster::address(0))->reachable);
    }

    // Guards against a delayed sync of an earlier incarnation that replaces the entry of the
    // running one.
    void old_incarnation_does_not_replace_new_one()
    {
        test_cluster daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(3'000));
        const auto delayed = daemons.table(3).make_sync_request(test_cluster::address(0));
        auto delayed_complete = delayed;
        delayed_complete.sender = daemons.view(3)->self;
        delayed_complete.sender.sequence += 1000;
        daemons.start(3, "a", 900);
        daemons.run(milliseconds(2'000));
        for (const auto& it : {delayed, delayed_complete}) {
            daemons.table(0).handle_sync(it);
            const auto view = daemons.view(0);
            CPPUNIT_ASSERT(find(*view, test_cluster::address(3))->entry.id.run == incarnation(900));
        }
        daemons.run(milliseconds(2'000));
        CPPUNIT_ASSERT(find(*daemons.view(9), test_cluster::address(3))->entry.id.run ==
                       incarnation(900));
    }

    // Guards against sending a restarted member only the changes since the last sync of the
    // previous process.
    void restarted_member_gets_complete_state()
    {
        test_cluster daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(10'000));
        daemons.start(6, "a", 900);
        daemons.run(milliseconds(1'500));
        const auto view = daemons.view(6);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, reachable_members(*view));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view->summaries.size());
        daemons.run(milliseconds(1'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, reachable_members(*daemons.view(0)));
    }

    // Guards against the two sides of a network partition not syncing after it has ended.
    void members_converge_after_partition()
    {
        test_cluster daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(10'000));
        daemons.drops = [&](vm_address lhs, vm_address rhs) {
            return (lhs < test_cluster::address(6)) != (rhs < test_cluster::address(6));
        };
        daemons.run(milliseconds(30'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reachable_members(*daemons.view(0)));
        daemons.drops = [](auto, auto) {
            return false;
        };
        daemons.run(milliseconds(10'000));
        check_converged(daemons);
    }

    // Guards against two homes of a backend server when a daemon resumes after a pause in which
    // another daemon became the home.
    void resumed_daemon_is_not_home_before_its_first_sync()
    {
        test_cluster daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(5'000));
        auto& paused_daemon = daemons.nodes.at(test_cluster::address(0));
        const auto backend = backend_of_first_daemon(daemons);
        paused_daemon.running = false;
        daemons.run(milliseconds(20'000));
        CPPUNIT_ASSERT(evaluate_home(*daemons.view(0), backend, daemons.time.now()) ==
                       home_state::stale_view);
        const auto new_home = home_of(backend, daemons.view(3)->ready_addresses());
        CPPUNIT_ASSERT(new_home && *new_home != test_cluster::address(0));
        paused_daemon.running = true;
        daemons.run(milliseconds(2'000));
        CPPUNIT_ASSERT(evaluate_home(*daemons.view(0), backend, daemons.time.now()) ==
                       home_state::home);
    }

    // Guards against a failure domain without any home when a single daemon is left.
    void single_daemon_is_home()
    {
        test_cluster daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(5'000));
        daemons.drops = [](auto, auto) {
            return true;
        };
        daemons.run(milliseconds(12'000));
        CPPUNIT_ASSERT(daemons.view(0)->is_alone);
        CPPUNIT_ASSERT(evaluate_home(*daemons.view(0), backend_server_name("any"),
                                     daemons.time.now()) == home_state::home);
        daemons.drops = [](auto, auto) {
            return false;
        };
        daemons.run(milliseconds(5'000));
        CPPUNIT_ASSERT(!daemons.view(0)->is_alone);
    }

    // Guards against new requests to a leaving backend server because a lagging source still
    // reports it as running.
    void leaving_signal_lasts_for_the_incarnation()
    {
        test_cluster daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(5'000));
        const backend_server_name backend("b");
        daemons.table(0).record_leaving({backend, incarnation(5)});
        daemons.run(milliseconds(3'000));
        for (std::uint32_t it = 0; it < 12; ++it) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, daemons.view(it)->leaving.size());
        }
        daemons.start(0, "a", 900);
        daemons.table(3).record_running(backend, incarnation(5));
        daemons.table(3).record_running(backend, incarnation(4));
        daemons.run(milliseconds(3'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, daemons.view(3)->leaving.size());
        daemons.table(3).record_running(backend, incarnation(6));
        daemons.table(3).record_leaving({backend_server_name("c"), {}});
        const auto leaving = daemons.view(3)->leaving;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaving.size());
        CPPUNIT_ASSERT(leaving.front().backend == backend_server_name("c"));
    }

    // Guards against ignoring the summaries of a restarted writer because the clock of its previous
    // process was ahead.
    void summary_of_restarted_writer_is_newer()
    {
        test_cluster daemons;
        daemons.start(0, "a", 1);
        daemons.start(1, "b", 1);
        daemons.run(milliseconds(3'000));
        auto request = daemons.table(1).make_sync_request(test_cluster::address(0));
        rpc::domain_summary summary{failure_domain_name("b"),
                                    region_name("b"),
                                    1ULL << 60U,
                                    {test_cluster::address(1), incarnation(2)},
                                    0,
                                    {},
                                    {},
                                    {}};
        request.summaries = {summary};
        daemons.table(0).handle_sync(request);
        summary.writer.run = incarnation(3);
        summary.revision = 5;
        request.summaries = {summary};
        daemons.table(0).handle_sync(request);
        CPPUNIT_ASSERT(*daemons.view(0)->summaries.front().summary == summary);
        summary.writer.run = incarnation(2);
        summary.revision = 1ULL << 61U;
        request.summaries = {summary};
        daemons.table(0).handle_sync(request);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                             daemons.view(0)->summaries.front().summary->revision);
    }

    // Guards against using the expired loads of a failure domain that no longer answers, and
    // against dropping its addresses, without which it cannot be contacted again.
    void expired_summary_is_kept()
    {
        test_cluster daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(10'000));
        for (const auto it : {1U, 4U, 7U, 10U}) {
            daemons.nodes.at(test_cluster::address(it)).running = false;
        }
        daemons.run(milliseconds(14'000));
        const auto view = daemons.view(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view->summaries.size());
        CPPUNIT_ASSERT(!view->summaries.at(0).usable);
        CPPUNIT_ASSERT(view->summaries.at(1).usable);
    }

    // Guards against a new configuration version that the other members do not receive from the
    // daemon that read it.
    void config_version_reaches_all_members()
    {
        test_cluster daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(5'000));
        daemons.table(0).set_config_version(42);
        daemons.run(milliseconds(500));
        const auto view = daemons.view(9);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, view->highest_config_version);
        CPPUNIT_ASSERT(view->config_source == test_cluster::address(0));
        daemons.table(9).set_config_version(42);
        CPPUNIT_ASSERT(!daemons.view(9)->config_source);
    }

    // Guards against members that select different gateways or head readers, and against a gateway
    // that keeps contacting a failing peer.
    void selections_agree_and_skip_failing_peers()
    {
        const std::vector<vm_address> ready = {test_cluster::address(1), test_cluster::address(2),
                                               test_cluster::address(3)};
        const std::vector<vm_address> reversed(ready.rbegin(), ready.rend());
        const failure_domain_name own("a");
        const failure_domain_name remote("b");
        CPPUNIT_ASSERT(gateways(own, remote, ready) == gateways(own, remote, reversed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateways(own, remote, ready).size());
        CPPUNIT_ASSERT(head_readers(own, ready) == head_readers(own, reversed));
        const auto seed = test_cluster::address(9);
        std::set<vm_address> failing;
        for (std::size_t it = 0; it < ready.size(); ++it) {
            const auto target =
                gateway_target(remote, test_cluster::address(0), ready, failing, {seed});
            CPPUNIT_ASSERT(target && *target != seed && failing.insert(*target).second);
        }
        CPPUNIT_ASSERT(gateway_target(remote, test_cluster::address(0), ready, failing, {seed}) ==
                       seed);
    }

private:
    static void check_converged(const test_cluster& daemons)
    {
        for (std::uint32_t it = 0; it < 12; ++it) {
            const auto view = daemons.view(it);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, reachable_members(*view));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view->summaries.size());
            for (const auto& summary : view->summaries) {
                CPPUNIT_ASSERT(summary.usable);
                CPPUNIT_ASSERT_EQUAL(std::size_t{4}, summary.summary->entry_vms.size());
            }
        }
    }

    static backend_server_name backend_of_first_daemon(const test_cluster& daemons)
    {
        for (int it = 0;; ++it) {
            backend_server_name name(fmt::format("b{}", it));
            if (home_of(name, daemons.view(0)->ready_addresses()) == test_cluster::address(0)) {
                return name;
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_table_test);

} // namespace toucan::membership
