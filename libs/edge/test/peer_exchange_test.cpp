#include "peer_exchange.h"

#include "toucan/base/stable_hash.h"
#include "toucan/base/system_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace toucan::edge {

namespace {

constexpr std::uint32_t workspace_id = 77;

/// A daemon reduced to its peer exchange and fleet, with one backend server that all daemons use.
struct test_daemon {
    test_daemon(asio::io_context& loop, const clock& time, const settings& from)
        : daemon_settings(from), servers(loop, time, daemon_settings)
    {
        backend_record server;
        server.name = backend_server_name("backend-1");
        server.service = service_name("desk");
        server.failure_domain = failure_domain_name("west-a");
        server.slots = 400;
        servers.apply(server);
        exchange = std::make_unique<peer_exchange>(
            loop, time, daemon_settings, servers, 1,
            peer_exchange::events{[] {}, [this] { return ready; },
                                  [this] {
                                      return std::vector<policy::service_demand>{{7, demand}};
                                  },
                                  [this] { return tables; }, [] { return true; },
                                  [this] { return requests; }, [this] { return pressure; },
                                  [this](const policy::load_summary& all) {
                                      peer_requests = all.workspace(workspace_id);
                                      most_peer_requests =
                                          std::max(most_peer_requests, peer_requests.admitted);
                                      ++workspace_reports;
                                  }});
    }

    /// Sets the requests of this daemon's callers.
    void set_requests(double admitted)
    {
        requests = {};
        requests.add_workspace(workspace_id, {admitted, admitted / 4, 1});
    }

    [[nodiscard]] const backend_server& server() const
    {
        return *servers.find(short_hash("backend-1"));
    }

    settings daemon_settings;
    fleet servers;
    std::unique_ptr<peer_exchange> exchange;
    bool ready = true;
    double demand = 0;
    policy::load_summary requests;
    bool pressure = false;
    /// Requests of all other daemons as last reported, and the largest number reported.
    policy::workspace_usage peer_requests;
    double most_peer_requests = 0;
    int workspace_reports = 0;
    std::vector<table_state> tables{{1, {}, {}}, {1, {}, {}}, {1, {}, {}}};
};

} // namespace

/// Exchanges datagrams over loopback between daemons of three failure domains in two regions.
class peer_exchange_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_exchange_test);
    CPPUNIT_TEST(all_daemons_converge_on_total_load);
    CPPUNIT_TEST(load_exchange_recovers_from_relay_loss);
    CPPUNIT_TEST(one_relay_removes_expired_daemons);
    CPPUNIT_TEST(last_failure_domain_removes_expired_daemons);
    CPPUNIT_TEST(unready_daemon_is_reported_to_all);
    CPPUNIT_TEST(missed_evacuation_is_reported_across_domains);
    CPPUNIT_TEST(confirmation_by_the_store_reaches_all_daemons);
    CPPUNIT_TEST(confirmation_does_not_renew_itself);
    CPPUNIT_TEST(rate_limit_and_requests_are_known_to_all_daemons);
    CPPUNIT_TEST(requests_of_workspaces_are_known_to_all_daemons);
    CPPUNIT_TEST(requests_of_workspaces_survive_the_loss_of_a_relay);
    CPPUNIT_TEST(reports_without_workspaces_stay_small);
    CPPUNIT_TEST(datagrams_per_daemon_do_not_grow_with_deployment);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context loop_{1};
    system_clock time_;
    std::vector<std::unique_ptr<test_daemon>> daemons_;

    static settings settings_of(std::size_t n)
    {
        static const char* const domains[] = {"west-a", "west-b", "east-a"};
        settings it;
        it.name = fmt::format("entry-{}", n);
        it.failure_domain = failure_domain_name(domains[n % 3]);
        it.regions = {{failure_domain_name("west-a"), region_name("west")},
                      {failure_domain_name("west-b"), region_name("west")},
                      {failure_domain_name("east-a"), region_name("east")}};
        it.region = it.regions[it.failure_domain];
        it.capacity = n < 3 ? 0.5 : 0.07;
        return it;
    }

    static vm_address free_address(asio::io_context& loop)
    {
        udp::socket probe(loop, udp::endpoint(asio::ip::address_v4::loopback(), 0));
        return *vm_address::parse(fmt::format("127.0.0.1:{}", probe.local_endpoint().port()));
    }

    static member_record member_of(const settings& it)
    {
        member_record member;
        member.name = it.name;
        member.peers = it.peers;
        member.failure_domain = it.failure_domain;
        member.region = it.region;
        member.capacity = it.capacity;
        member.run = 1;
        return member;
    }

    void start_daemons(std::size_t count)
    {
        for (std::size_t it = 0; it < count; ++it) {
            auto daemon_settings = settings_of(it);
            daemon_settings.peers = free_address(loop_);
            daemons_.push_back(std::make_unique<test_daemon>(loop_, time_, daemon_settings));
            CPPUNIT_ASSERT(daemons_.back()->exchange->start());
        }
        for (const auto& it : daemons_) {
            for (const auto& other : daemons_) {
                it->exchange->add(member_of(other->daemon_settings));
            }
        }
    }

    bool run_until(const std::function<bool()>& done, milliseconds limit)
    {
        const auto end = time_.now() + limit;
        while (!done() && time_.now() < end) {
            loop_.run_for(milliseconds(10));
        }
        return done();
    }

    /// Ends a daemon without a further report. Handlers that are ready run first, because they use
    /// the exchange; in a process, the exchange outlives its loop.
    void lose(test_daemon& it)
    {
        loop_.poll();
        it.exchange.reset();
    }

    /// Whether each daemon knows the total load of the server and the number of daemons with load.
    bool all_see_load(double total, std::size_t sharers)
    {
        for (const auto& it : daemons_) {
            const auto& server = it->server();
            const bool total_known = std::abs(server.local_load + server.peer_load - total) < 0.1;
            const std::size_t idle_sharer = server.local_load > 0 ? 0 : 1;
            if (it->exchange && (!total_known || server.sharers != sharers + idle_sharer)) {
                return false;
            }
        }
        return true;
    }

    /// Whether each daemon knows the requests of all other daemons.
    bool all_see_requests(double total)
    {
        return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& it) {
            const double own = it->requests.workspace(workspace_id).admitted;
            return !it->exchange || std::abs(it->peer_requests.admitted - (total - own)) < 1;
        });
    }

    std::string peer_requests_text()
    {
        std::string text;
        for (const auto& it : daemons_) {
            text += fmt::format(" {}:{}+{}", it->daemon_settings.name,
                                it->requests.workspace(workspace_id).admitted,
                                it->peer_requests.admitted);
        }
        return text;
    }

    void set_loads()
    {
        for (std::size_t it = 0; it < daemons_.size(); ++it) {
            auto& servers = daemons_[it]->servers;
            servers.add_load(servers.find(short_hash("backend-1")), static_cast<double>(it + 1),
                             steady_time());
        }
    }

public:
    void tearDown() override
    {
        // `run_for` may leave timers that have expired in the queue; they must not outlive the
        // daemons.
        loop_.restart();
        loop_.poll();
        daemons_.clear();
        loop_.restart();
    }

    // Guards against loads that relays lose or count twice. Backend servers would be overloaded or
    // underused.
    void all_daemons_converge_on_total_load()
    {
        start_daemons(9);
        set_loads();
        for (const auto& it : daemons_) {
            it->demand = 2;
        }
        CPPUNIT_ASSERT(run_until([&] { return all_see_load(45, 9); }, milliseconds(4000)));
        for (const auto& it : daemons_) {
            const double local = it->daemon_settings.region == region_name("west") ? it->demand : 0;
            CPPUNIT_ASSERT_DOUBLES_EQUAL(12.0, local + it->exchange->demand(region_name("west"), 7),
                                         0.1);
        }
        // A changed load replaces the previous one and is not added to it.
        daemons_[5]->servers.add_load(daemons_[5]->servers.find(short_hash("backend-1")), 10,
                                      steady_time());
        CPPUNIT_ASSERT(run_until([&] { return all_see_load(55, 9); }, milliseconds(2000)));
    }

    // Guards against a failure domain that no longer receives the load of the other domains after
    // its relay has failed.
    void load_exchange_recovers_from_relay_loss()
    {
        start_daemons(9);
        set_loads();
        CPPUNIT_ASSERT(run_until([&] { return all_see_load(45, 9); }, milliseconds(4000)));
        lose(*daemons_[0]);
        CPPUNIT_ASSERT(run_until([&] { return all_see_load(44, 8); }, milliseconds(4000)));
        CPPUNIT_ASSERT(run_until(
            [&] {
                return !daemons_[5]->exchange->peers().alive("entry-0") &&
                       daemons_[5]->exchange->peers().alive("entry-4");
            },
            milliseconds(2500)));
    }

    // Guards against rows of failed daemons that are never removed and keep their share of the
    // shared limits, and against every daemon sending the same removals to the store.
    void one_relay_removes_expired_daemons()
    {
        start_daemons(9);
        lose(*daemons_[4]);
        const auto count_removers = [&] {
            return std::count_if(daemons_.begin(), daemons_.end(), [](const auto& it) {
                return it->exchange && it->exchange->first_relay_overall();
            });
        };
        CPPUNIT_ASSERT(run_until([&] { return count_removers() == 1; }, milliseconds(3000)));
        run_until([] { return false; }, milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(1L, static_cast<long>(count_removers()));
        for (const auto& it : daemons_) {
            if (it->exchange) {
                const auto silent = it->exchange->peers().silent_for(milliseconds(1200));
                CPPUNIT_ASSERT(silent == std::vector<std::string>{"entry-4"});
            }
        }
    }

    // Guards against rows of lost daemons that stay when only one failure domain is left: its relay
    // hears no other one, and only a relay that did so removed rows.
    void last_failure_domain_removes_expired_daemons()
    {
        start_daemons(9);
        run_until([] { return false; }, milliseconds(500));
        for (std::size_t n = 0; n < daemons_.size(); ++n) {
            if (n % 3 != 0) {
                lose(*daemons_[n]);
            }
        }
        const auto count_removers = [&] {
            return std::count_if(daemons_.begin(), daemons_.end(), [](const auto& it) {
                return it->exchange &&
                       (it->exchange->first_relay_overall() || it->exchange->only_relay_heard());
            });
        };
        run_until([] { return false; }, milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(1L, static_cast<long>(count_removers()));
    }

    // Guards against daemons of another region that still name a stopping daemon in look-up
    // answers.
    void unready_daemon_is_reported_to_all()
    {
        start_daemons(9);
        const auto seen_by_all = [&] {
            return std::all_of(daemons_.begin(), daemons_.end(), [](const auto& it) {
                return it->daemon_settings.name == "entry-8" ||
                       it->exchange->peers().alive("entry-8");
            });
        };
        CPPUNIT_ASSERT(run_until(seen_by_all, milliseconds(3000)));
        daemons_[8]->ready = false;
        daemons_[8]->exchange->report_now();
        CPPUNIT_ASSERT(run_until(
            [&] {
                return std::none_of(daemons_.begin(), daemons_.end(), [](const auto& it) {
                    return it->exchange->peers().alive("entry-8");
                });
            },
            milliseconds(1500)));
    }

    // Guards against a daemon that the store rejects and that therefore misses an evacuation: it
    // would go on sending requests to the evacuated failure domain.
    void missed_evacuation_is_reported_across_domains()
    {
        start_daemons(6);
        daemons_[5]->tables[0].newest_row = 9;
        daemons_[5]->servers.set_evacuated(failure_domain_name("west-a"), true);
        const std::vector<std::uint32_t> expected{short_hash("west-a")};
        CPPUNIT_ASSERT(
            run_until([&] { return daemons_[0]->exchange->newer_evacuations() == expected; },
                      milliseconds(2500)));
        CPPUNIT_ASSERT(daemons_[5]->exchange->newer_evacuations().empty());
        daemons_[0]->tables[0].newest_row = 9;
        CPPUNIT_ASSERT(daemons_[0]->exchange->newer_evacuations().empty());
    }

    // Guards against a daemon that cannot tell a table without changes from a lost store: only one
    // daemon polls the store often, and the others have to learn from it that nothing has changed.
    void confirmation_by_the_store_reaches_all_daemons()
    {
        start_daemons(6);
        daemons_[5]->tables[0].store_time = milliseconds(77);
        daemons_[5]->tables[0].confirmed_at = time_.now();
        const auto known_by_all = [&] {
            return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& it) {
                const auto table = it->exchange->table(0);
                return table.store_time == milliseconds(77) && table.confirmed_at;
            });
        };
        CPPUNIT_ASSERT(run_until(known_by_all, milliseconds(2500)));
        // A newer row that the store has not confirmed yet makes the confirmation void.
        daemons_[4]->tables[0].newest_row = 2;
        CPPUNIT_ASSERT(run_until([&] { return !daemons_[0]->exchange->table(0).confirmed_at; },
                                 milliseconds(2500)));
    }

    // Guards against daemons that keep a lost store confirmed by telling each other: what one
    // learns from another must not come back to it as news.
    void confirmation_does_not_renew_itself()
    {
        start_daemons(9);
        daemons_[5]->tables[0].store_time = milliseconds(77);
        daemons_[5]->tables[0].confirmed_at = time_.now();
        run_until([] { return false; }, milliseconds(3500));
        for (const auto& it : daemons_) {
            const auto age = age_of(it->exchange->table(0), time_.now());
            CPPUNIT_ASSERT(age);
            CPPUNIT_ASSERT_LESS(age->count(), std::int64_t{2300});
        }
    }

    // Guards against a rate limit that each daemon keeps for itself: only the daemon that got the
    // response would know it, and each would send as much as all together may.
    void rate_limit_and_requests_are_known_to_all_daemons()
    {
        start_daemons(9);
        const auto server_of = [&](std::size_t n) {
            return daemons_[n]->servers.find(short_hash("backend-1"));
        };
        daemons_[4]->servers.record_rate_limit(server_of(4), 2.5);
        const auto limited = [&](std::size_t n) {
            return server_of(n)->rate.limit() == 2.5;
        };
        CPPUNIT_ASSERT(run_until(
            [&] { return limited(0) && limited(1) && limited(2) && limited(7) && limited(8); },
            milliseconds(2500)));
        // The server accepts 10 requests in 4 s; the other daemons have sent 16.
        for (std::size_t n = 1; n < daemons_.size(); ++n) {
            server_of(n)->rate.record_request(time_.now());
            server_of(n)->rate.record_request(time_.now());
        }
        run_until([] { return false; }, milliseconds(1000));
        CPPUNIT_ASSERT(!server_of(0)->rate.allows(time_.now(), 0));
        // A later response without a limit counts more than the reports about earlier ones.
        daemons_[0]->servers.record_rate_limit(server_of(0), std::nullopt);
        run_until([] { return false; }, milliseconds(500));
        CPPUNIT_ASSERT(!server_of(0)->rate.limit());
        CPPUNIT_ASSERT(limited(8));
    }

    // Guards against requests of a workspace that relays lose or count twice, or that a daemon
    // takes for requests of others: the quota would be exceeded, or refused below.
    void requests_of_workspaces_are_known_to_all_daemons()
    {
        start_daemons(9);
        double total = 0;
        for (const int round : {1, 2, 3, 4}) {
            total = 0;
            for (std::size_t n = 0; n < daemons_.size(); ++n) {
                // Counts that rise and fall.
                const double admitted = round % 2 == 0 ? 10.0 : 20.0 * static_cast<double>(n + 1);
                daemons_[n]->set_requests(admitted);
                daemons_[n]->pressure = round > 2;
                total += admitted;
            }
            CPPUNIT_ASSERT_MESSAGE(
                std::to_string(round) + ": " + peer_requests_text(),
                run_until([&] { return all_see_requests(total); }, milliseconds(3000)));
        }
        // A daemon without requests is not part of the sum any more.
        daemons_[4]->requests = {};
        CPPUNIT_ASSERT(run_until([&] { return all_see_requests(total - 10); }, milliseconds(2000)));
        run_until([&] { return !all_see_requests(total - 10); }, milliseconds(1000));
        CPPUNIT_ASSERT_MESSAGE(peer_requests_text(), all_see_requests(total - 10));
    }

    // Guards against counts that a new relay lacks for long or counts twice.
    void requests_of_workspaces_survive_the_loss_of_a_relay()
    {
        start_daemons(9);
        for (const auto& it : daemons_) {
            it->set_requests(40);
            it->pressure = true;
        }
        CPPUNIT_ASSERT(run_until([&] { return all_see_requests(360); }, milliseconds(3000)));
        for (const auto& it : daemons_) {
            it->most_peer_requests = 0;
        }
        const auto lost_at = time_.now();
        lose(*daemons_[0]);
        CPPUNIT_ASSERT_MESSAGE(
            peer_requests_text(),
            run_until([&] { return all_see_requests(320); }, milliseconds(3000)));
        CPPUNIT_ASSERT_LESS(
            std::int64_t{2500},
            std::chrono::duration_cast<milliseconds>(time_.now() - lost_at).count());
        run_until([] { return false; }, milliseconds(1000));
        CPPUNIT_ASSERT(all_see_requests(320));
        for (const auto& it : daemons_) {
            if (it->exchange) {
                CPPUNIT_ASSERT_MESSAGE(it->daemon_settings.name + " " +
                                           std::to_string(it->most_peer_requests),
                                       it->most_peer_requests <= 320);
            }
        }
    }

    // Guards against additional traffic in deployments without workspaces.
    void reports_without_workspaces_stay_small()
    {
        peer_report it;
        it.sender = 1;
        it.run = 1;
        const auto without = encode(it).size();
        it.has_workspaces = true;
        CPPUNIT_ASSERT_LESSEQUAL(without + 4, encode(it).size());
    }

    // Guards against peer traffic that grows with the square of the number of daemons. On 103 VMs
    // it cost more than all other traffic between failure domains.
    void datagrams_per_daemon_do_not_grow_with_deployment()
    {
        const double few = datagrams_per_daemon(9);
        tearDown();
        const double many = datagrams_per_daemon(36);
        CPPUNIT_ASSERT_LESS(1.25 * few, many);
    }

private:
    /// Mean number of datagrams that one daemon sends in two seconds.
    double datagrams_per_daemon(std::size_t daemons)
    {
        start_daemons(daemons);
        run_until([] { return false; }, milliseconds(1500));
        const auto sent = [&] {
            std::uint64_t sum = 0;
            for (const auto& it : daemons_) {
                sum += it->exchange->datagrams_sent();
            }
            return sum;
        };
        const auto before = sent();
        run_until([] { return false; }, milliseconds(2000));
        return static_cast<double>(sent() - before) / static_cast<double>(daemons);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_exchange_test);

} // namespace toucan::edge
