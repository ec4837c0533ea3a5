#include "peer_exchange.h"

#include "toucan/base/stable_hash.h"
#include "toucan/base/system_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <cmath>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace toucan::edge {

namespace {

/// One daemon as the others see it, with one backend server that all of them use.
struct exchange_node {
    exchange_node(asio::io_context& loop, const clock& time, const settings& from)
        : own(from), servers(loop, time, own)
    {
        backend_record server;
        server.name = backend_server_name("backend-1");
        server.service = service_name("desk");
        server.failure_domain = failure_domain_name("west-a");
        server.slots = 400;
        servers.apply(server);
        exchange = std::make_unique<peer_exchange>(
            loop, time, own, servers, 1,
            peer_exchange::events{[] {}, [this] { return ready; },
                                  [this] {
                                      return std::vector<policy::service_demand>{{7, demand}};
                                  },
                                  [this] { return versions; },
                                  [] {
                                      return true;
                                  }});
    }

    [[nodiscard]] const backend_server& server() const
    {
        return *servers.find(short_hash("backend-1"));
    }

    settings own;
    fleet servers;
    std::unique_ptr<peer_exchange> exchange;
    bool ready = true;
    double demand = 0;
    std::vector<std::uint64_t> versions{1, 1, 1};
};

} // namespace

/// Daemons of three failure domains in two regions exchange datagrams over loopback.
class peer_exchange_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_exchange_test);
    CPPUNIT_TEST(every_daemon_learns_the_load_of_all);
    CPPUNIT_TEST(load_survives_the_loss_of_a_relay);
    CPPUNIT_TEST(gone_daemons_are_removed_by_one);
    CPPUNIT_TEST(daemon_that_ceases_to_take_callers_is_known_everywhere);
    CPPUNIT_TEST(missed_evacuation_is_heard_across_domains);
    CPPUNIT_TEST(datagrams_do_not_grow_with_the_square_of_the_daemons);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context loop_{1};
    system_clock time_;
    std::vector<std::unique_ptr<exchange_node>> nodes_;

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

    void begin(std::size_t count)
    {
        for (std::size_t it = 0; it < count; ++it) {
            auto own = settings_of(it);
            own.peers = free_address(loop_);
            nodes_.push_back(std::make_unique<exchange_node>(loop_, time_, own));
            CPPUNIT_ASSERT(nodes_.back()->exchange->start());
        }
        for (const auto& it : nodes_) {
            for (const auto& other : nodes_) {
                it->exchange->add(member_of(other->own));
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

    /// Whether each daemon counts the load of all others, and those that have any.
    bool all_know(double total, std::size_t sharers)
    {
        for (const auto& it : nodes_) {
            const auto& server = it->server();
            const bool sum = std::abs(server.own_load + server.peer_load - total) < 0.1;
            const std::size_t own = server.own_load > 0 ? 0 : 1;
            if (it->exchange && (!sum || server.sharers != sharers + own)) {
                return false;
            }
        }
        return true;
    }

    void set_loads()
    {
        for (std::size_t it = 0; it < nodes_.size(); ++it) {
            nodes_[it]->servers.find(short_hash("backend-1"))->own_load =
                static_cast<double>(it + 1);
        }
    }

public:
    void tearDown() override
    {
        nodes_.clear();
        loop_.restart();
    }

    // Guards against loads that are lost or counted twice on the way through the relays: backend
    // servers would be overloaded, or left idle.
    void every_daemon_learns_the_load_of_all()
    {
        begin(9);
        set_loads();
        for (const auto& it : nodes_) {
            it->demand = 2;
        }
        CPPUNIT_ASSERT(run_until([&] { return all_know(45, 9); }, milliseconds(4000)));
        for (const auto& it : nodes_) {
            const double own = it->own.region == region_name("west") ? it->demand : 0;
            CPPUNIT_ASSERT_DOUBLES_EQUAL(12.0, own + it->exchange->demand(region_name("west"), 7),
                                         0.1);
        }
        // What changes is followed, not added.
        nodes_[5]->servers.find(short_hash("backend-1"))->own_load = 16;
        CPPUNIT_ASSERT(run_until([&] { return all_know(55, 9); }, milliseconds(2000)));
    }

    // Guards against a failure domain that knows nothing of the others once its relay is gone.
    void load_survives_the_loss_of_a_relay()
    {
        begin(9);
        set_loads();
        CPPUNIT_ASSERT(run_until([&] { return all_know(45, 9); }, milliseconds(4000)));
        nodes_[0]->exchange.reset();
        CPPUNIT_ASSERT(run_until([&] { return all_know(44, 8); }, milliseconds(4000)));
        CPPUNIT_ASSERT(run_until(
            [&] {
                return !nodes_[5]->exchange->peers().alive("entry-0") &&
                       nodes_[5]->exchange->peers().alive("entry-4");
            },
            milliseconds(2500)));
    }

    // Guards against rows of daemons that never return, which keep their part of the shared limits,
    // and against every daemon asking the store to remove them.
    void gone_daemons_are_removed_by_one()
    {
        begin(9);
        nodes_[4]->exchange.reset();
        const auto removers = [&] {
            return std::count_if(nodes_.begin(), nodes_.end(), [](const auto& it) {
                return it->exchange && it->exchange->first_of_all();
            });
        };
        CPPUNIT_ASSERT(run_until([&] { return removers() == 1; }, milliseconds(3000)));
        run_until([] { return false; }, milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(1L, static_cast<long>(removers()));
        for (const auto& it : nodes_) {
            if (it->exchange) {
                const auto silent = it->exchange->peers().silent_for(milliseconds(1200));
                CPPUNIT_ASSERT(silent == std::vector<std::string>{"entry-4"});
            }
        }
    }

    // Guards against look-up answers of another region that name a daemon that is stopping.
    void daemon_that_ceases_to_take_callers_is_known_everywhere()
    {
        begin(9);
        const auto known = [&] {
            return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& it) {
                return it->own.name == "entry-8" || it->exchange->peers().alive("entry-8");
            });
        };
        CPPUNIT_ASSERT(run_until(known, milliseconds(3000)));
        nodes_[8]->ready = false;
        nodes_[8]->exchange->report_now();
        CPPUNIT_ASSERT(run_until(
            [&] {
                return std::none_of(nodes_.begin(), nodes_.end(), [](const auto& it) {
                    return it->exchange->peers().alive("entry-8");
                });
            },
            milliseconds(1500)));
    }

    // Guards against requests to an evacuated failure domain from a daemon that the store turns
    // away.
    void missed_evacuation_is_heard_across_domains()
    {
        begin(6);
        nodes_[5]->versions = {9, 1, 1};
        nodes_[5]->servers.set_evacuated(failure_domain_name("west-a"), true);
        const std::vector<std::uint32_t> expected{short_hash("west-a")};
        CPPUNIT_ASSERT(
            run_until([&] { return nodes_[0]->exchange->missed_evacuations() == expected; },
                      milliseconds(2500)));
        CPPUNIT_ASSERT(nodes_[5]->exchange->missed_evacuations().empty());
        nodes_[0]->versions = {9, 1, 1};
        CPPUNIT_ASSERT(nodes_[0]->exchange->missed_evacuations().empty());
    }

    // Guards against traffic between daemons that grows with the square of their number: on 103
    // VMs it cost more than all other traffic between failure domains.
    void datagrams_do_not_grow_with_the_square_of_the_daemons()
    {
        const double few = datagrams_per_daemon(9);
        tearDown();
        const double many = datagrams_per_daemon(36);
        CPPUNIT_ASSERT_LESS(1.25 * few, many);
    }

private:
    /// Datagrams that a daemon sends in two seconds, on average.
    double datagrams_per_daemon(std::size_t daemons)
    {
        begin(daemons);
        run_until([] { return false; }, milliseconds(1500));
        const auto sent = [&] {
            std::uint64_t sum = 0;
            for (const auto& it : nodes_) {
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
