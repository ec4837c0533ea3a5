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

constexpr milliseconds tick{100};

/// Daemons that exchange syncs in memory; chosen messages are dropped.
class mesh {
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
                .place(failure_domain_name(domain), region_name(domain.substr(0, 1)))
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
        for (milliseconds at{0}; at < span; at += tick) {
            time.advance(tick);
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
            const auto request = it.table->make_sync(to);
            if (peer == nodes.end() || !peer->second.running || drops(from, to)) {
                it.table->note_unreachable(to);
                continue;
            }
            const auto reply = peer->second.table->handle_sync(request);
            if (drops(to, from)) {
                it.table->note_unreachable(to);
                continue;
            }
            it.table->apply(to, reply);
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
void start_three_domains(mesh& daemons)
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
    CPPUNIT_TEST(changed_homes_merge);
    CPPUNIT_TEST(suspicion_is_local_and_relays_do_not_refresh);
    CPPUNIT_TEST(old_incarnation_does_not_return);
    CPPUNIT_TEST(restarted_member_gets_everything);
    CPPUNIT_TEST(partition_heals);
    CPPUNIT_TEST(resumed_daemon_is_no_home_until_it_synced);
    CPPUNIT_TEST(lone_daemon_is_home);
    CPPUNIT_TEST(leaving_stays_for_the_incarnation);
    CPPUNIT_TEST(restarted_summary_writer_supersedes);
    CPPUNIT_TEST(summary_expires_but_stays);
    CPPUNIT_TEST(config_version_spreads);
    CPPUNIT_TEST(selections_agree_and_pass_over_failing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against members or domains that never learn of each other.
    void domains_and_summaries_converge()
    {
        mesh daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(10'000));
        check_converged(daemons);
        daemons.run(milliseconds(30'000));
        check_converged(daemons);
    }

    // Guards against state that is lost for ever when one message is lost.
    void lossy_network_converges()
    {
        constexpr unsigned seed = 7;
        std::cerr << "seed " << seed << '\n';
        std::mt19937 random(seed);
        mesh daemons;
        start_three_domains(daemons);
        daemons.drops = [&](auto, auto) {
            return random() % 3 == 0;
        };
        daemons.run(milliseconds(20'000));
        daemons.table(5).set_homes({{backend_server_name("b"), 3, 2, 1}});
        daemons.run(milliseconds(5'000));
        daemons.drops = [](auto, auto) {
            return false;
        };
        daemons.run(milliseconds(8'000));
        check_converged(daemons);
        for (const auto other : {2U, 8U, 11U}) {
            const auto view = daemons.view(other);
            CPPUNIT_ASSERT(find(*view, mesh::address(5))->entry.homes ==
                           daemons.view(5)->self.homes);
        }
    }

    // Guards against homes that are lost, stale or kept for ever when only changes are sent.
    void changed_homes_merge()
    {
        mesh daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(5'000));
        const backend_server_name first("b1");
        const backend_server_name second("b2");
        const auto known = [&] {
            return find(*daemons.view(3), mesh::address(0))->entry.homes;
        };
        using loads = std::vector<rpc::backend_load>;
        daemons.table(0).set_homes({{first, 8, 4, 0}, {second, 8, 4, 0}});
        daemons.run(milliseconds(1'000));
        CPPUNIT_ASSERT((known() == loads{{first, 8, 4, 0}, {second, 8, 4, 0}}));

        // One of eight slots is no material change; two are.
        daemons.table(0).set_homes({{first, 8, 5, 0}, {second, 8, 6, 0}});
        const auto request = daemons.table(0).make_sync(mesh::address(3));
        CPPUNIT_ASSERT((request.sender.homes == loads{{second, 8, 6, 0}}));
        CPPUNIT_ASSERT(request.sender.homes_since > 0);
        daemons.run(milliseconds(1'000));
        CPPUNIT_ASSERT((known() == loads{{first, 8, 4, 0}, {second, 8, 6, 0}}));
        daemons.run(milliseconds(1'500));
        daemons.table(0).set_homes({{first, 8, 5, 0}, {second, 8, 6, 0}});
        daemons.run(milliseconds(1'000));
        CPPUNIT_ASSERT((known() == loads{{first, 8, 5, 0}, {second, 8, 6, 0}}));

        daemons.table(0).set_homes({{second, 8, 6, 0}});
        daemons.run(milliseconds(1'000));
        CPPUNIT_ASSERT((known() == loads{{second, 8, 6, 0}}));

        // A receiver that lacks what the changes build on asks for the complete entry.
        auto unfounded = daemons.table(0).make_sync(mesh::address(3));
        unfounded.sender = daemons.view(0)->self;
        unfounded.sender.homes = {{first, 8, 1, 0}};
        unfounded.sender.homes_since = unfounded.sender.sequence + 10;
        unfounded.sender.sequence += 20;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, daemons.table(3).handle_sync(unfounded).revision);
        CPPUNIT_ASSERT((known() == loads{{second, 8, 6, 0}}));
    }

    // Guards against one daemon's suspicion, or gossip, deciding for the others.
    void suspicion_is_local_and_relays_do_not_refresh()
    {
        mesh daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(5'000));
        const auto cut = [](vm_address lhs, vm_address rhs) {
            return std::minmax(lhs, rhs) == std::minmax(mesh::address(0), mesh::address(3));
        };
        daemons.drops = cut;
        for (int it = 0; it < 10; ++it) {
            daemons.table(3).note_leaving({backend_server_name(fmt::format("b{}", it)), {}});
            daemons.run(milliseconds(500));
        }
        const auto cut_off = daemons.view(0);
        CPPUNIT_ASSERT(!find(*cut_off, mesh::address(3))->reachable);
        // The entry still arrives by way of the others.
        CPPUNIT_ASSERT(find(*cut_off, mesh::address(3))->entry.leaving.size() >= 9);
        CPPUNIT_ASSERT(find(*daemons.view(6), mesh::address(3))->reachable);
        CPPUNIT_ASSERT(find(*daemons.view(6), mesh::address(0))->reachable);
    }

    // Guards against a late message that brings back the former process.
    void old_incarnation_does_not_return()
    {
        mesh daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(3'000));
        const auto late = daemons.table(3).make_sync(mesh::address(0));
        auto late_full = late;
        late_full.sender = daemons.view(3)->self;
        late_full.sender.sequence += 1000;
        daemons.start(3, "a", 900);
        daemons.run(milliseconds(2'000));
        for (const auto& it : {late, late_full}) {
            daemons.table(0).handle_sync(it);
            const auto view = daemons.view(0);
            CPPUNIT_ASSERT(find(*view, mesh::address(3))->entry.id.run == incarnation(900));
        }
        daemons.run(milliseconds(2'000));
        CPPUNIT_ASSERT(find(*daemons.view(9), mesh::address(3))->entry.id.run == incarnation(900));
    }

    // Guards against a new process that is given only what changed since the former one asked.
    void restarted_member_gets_everything()
    {
        mesh daemons;
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

    // Guards against sides of a partition that stay apart after it heals.
    void partition_heals()
    {
        mesh daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(10'000));
        daemons.drops = [&](vm_address lhs, vm_address rhs) {
            return (lhs < mesh::address(6)) != (rhs < mesh::address(6));
        };
        daemons.run(milliseconds(30'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reachable_members(*daemons.view(0)));
        daemons.drops = [](auto, auto) {
            return false;
        };
        daemons.run(milliseconds(10'000));
        check_converged(daemons);
    }

    // Guards against a paused home that resumes and acts beside its successor.
    void resumed_daemon_is_no_home_until_it_synced()
    {
        mesh daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(5'000));
        auto& frozen = daemons.nodes.at(mesh::address(0));
        const auto backend = own_backend(daemons);
        frozen.running = false;
        daemons.run(milliseconds(20'000));
        CPPUNIT_ASSERT(home_verdict(*daemons.view(0), backend, daemons.time.now()) ==
                       home_state::stale_view);
        const auto taken_over = home_of(backend, daemons.view(3)->ready_addresses());
        CPPUNIT_ASSERT(taken_over && *taken_over != mesh::address(0));
        frozen.running = true;
        daemons.run(milliseconds(2'000));
        CPPUNIT_ASSERT(home_verdict(*daemons.view(0), backend, daemons.time.now()) ==
                       home_state::home);
    }

    // Guards against a failure domain that stops serving when one daemon is left.
    void lone_daemon_is_home()
    {
        mesh daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(5'000));
        daemons.drops = [](auto, auto) {
            return true;
        };
        daemons.run(milliseconds(12'000));
        CPPUNIT_ASSERT(daemons.view(0)->is_alone);
        CPPUNIT_ASSERT(home_verdict(*daemons.view(0), backend_server_name("any"),
                                    daemons.time.now()) == home_state::home);
        daemons.drops = [](auto, auto) {
            return false;
        };
        daemons.run(milliseconds(5'000));
        CPPUNIT_ASSERT(!daemons.view(0)->is_alone);
    }

    // Guards against new work for a leaving backend server because a lagging source denies it.
    void leaving_stays_for_the_incarnation()
    {
        mesh daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(5'000));
        const backend_server_name backend("b");
        daemons.table(0).note_leaving({backend, incarnation(5)});
        daemons.run(milliseconds(3'000));
        for (std::uint32_t it = 0; it < 12; ++it) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, daemons.view(it)->leaving.size());
        }
        daemons.start(0, "a", 900);
        daemons.table(3).note_running(backend, incarnation(5));
        daemons.table(3).note_running(backend, incarnation(4));
        daemons.run(milliseconds(3'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, daemons.view(3)->leaving.size());
        daemons.table(3).note_running(backend, incarnation(6));
        daemons.table(3).note_leaving({backend_server_name("c"), {}});
        const auto leaving = daemons.view(3)->leaving;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaving.size());
        CPPUNIT_ASSERT(leaving.front().backend == backend_server_name("c"));
    }

    // Guards against a summary of a dead writer that outlives it because its clock was ahead.
    void restarted_summary_writer_supersedes()
    {
        mesh daemons;
        daemons.start(0, "a", 1);
        daemons.start(1, "b", 1);
        daemons.run(milliseconds(3'000));
        auto request = daemons.table(1).make_sync(mesh::address(0));
        rpc::domain_summary summary{failure_domain_name("b"),
                                    region_name("b"),
                                    1ULL << 60U,
                                    {mesh::address(1), incarnation(2)},
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

    // Guards against steering by old load, and against losing the way to a cut-off domain.
    void summary_expires_but_stays()
    {
        mesh daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(10'000));
        for (const auto it : {1U, 4U, 7U, 10U}) {
            daemons.nodes.at(mesh::address(it)).running = false;
        }
        daemons.run(milliseconds(14'000));
        const auto view = daemons.view(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view->summaries.size());
        CPPUNIT_ASSERT(!view->summaries.at(0).usable);
        CPPUNIT_ASSERT(view->summaries.at(1).usable);
    }

    // Guards against a configuration that only the reader of the platform learns of.
    void config_version_spreads()
    {
        mesh daemons;
        start_three_domains(daemons);
        daemons.run(milliseconds(5'000));
        daemons.table(0).set_config_version(42);
        daemons.run(milliseconds(500));
        const auto view = daemons.view(9);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, view->highest_config_version);
        CPPUNIT_ASSERT(view->config_source == mesh::address(0));
        daemons.table(9).set_config_version(42);
        CPPUNIT_ASSERT(!daemons.view(9)->config_source);
    }

    // Guards against gateways and readers that differ between members, or insist on a dead peer.
    void selections_agree_and_pass_over_failing()
    {
        const std::vector<vm_address> ready = {mesh::address(1), mesh::address(2),
                                               mesh::address(3)};
        const std::vector<vm_address> reversed(ready.rbegin(), ready.rend());
        const failure_domain_name own("a");
        const failure_domain_name remote("b");
        CPPUNIT_ASSERT(gateways(own, remote, ready) == gateways(own, remote, reversed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateways(own, remote, ready).size());
        CPPUNIT_ASSERT(head_readers(own, ready) == head_readers(own, reversed));
        const auto seed = mesh::address(9);
        std::set<vm_address> failing;
        for (std::size_t it = 0; it < ready.size(); ++it) {
            const auto target = gateway_target(remote, mesh::address(0), ready, failing, {seed});
            CPPUNIT_ASSERT(target && *target != seed && failing.insert(*target).second);
        }
        CPPUNIT_ASSERT(gateway_target(remote, mesh::address(0), ready, failing, {seed}) == seed);
    }

private:
    static void check_converged(const mesh& daemons)
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

    static backend_server_name own_backend(const mesh& daemons)
    {
        for (int it = 0;; ++it) {
            backend_server_name name(fmt::format("b{}", it));
            if (home_of(name, daemons.view(0)->ready_addresses()) == mesh::address(0)) {
                return name;
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_table_test);

} // namespace toucan::membership
