#include "toucan/policy/server_ranking.h"

#include "seeds.h"

#include "toucan/base/stable_hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace toucan::policy {

class server_ranking_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_ranking_test);
    CPPUNIT_TEST(kept_servers_are_those_of_the_whole_ranking);
    CPPUNIT_TEST(eligible_servers_follow_the_same_order);
    CPPUNIT_TEST(requests_without_object_spread_evenly);
    CPPUNIT_TEST(number_of_kept_objects_is_bounded);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<std::uint64_t> ranked(std::vector<std::uint64_t> servers,
                                             std::uint64_t object)
    {
        std::sort(servers.begin(), servers.end(), [&](auto lhs, auto rhs) {
            return rendezvous_weight(lhs, object) > rendezvous_weight(rhs, object);
        });
        return servers;
    }

    static std::vector<std::uint64_t> first_of(server_ranking& ranking, std::uint64_t object)
    {
        const auto kept = ranking.first(object);
        return {kept.begin(), kept.end()};
    }

public:
    // Guards against kept rankings that go stale when servers join and leave: an object would stay
    // on the wrong server, or be sent to one that has left.
    void kept_servers_are_those_of_the_whole_ranking()
    {
        for_each_seed("rankings", [&](std::mt19937_64& random) {
            server_ranking ranking;
            std::vector<std::uint64_t> servers;
            for (int step = 0; step < 600; ++step) {
                if (servers.empty() || random() % 3 != 0) {
                    servers.push_back(random());
                    ranking.add(servers.back());
                }
                else {
                    const auto position = static_cast<std::ptrdiff_t>(random() % servers.size());
                    ranking.remove(servers[static_cast<std::size_t>(position)]);
                    servers.erase(servers.begin() + position);
                }
                const std::uint64_t object = stable_hash(std::to_string(random() % 20));
                auto expected = ranked(servers, object);
                expected.resize(std::min(expected.size(), server_ranking::kept_servers));
                CPPUNIT_ASSERT(expected == first_of(ranking, object));
            }
        });
    }

    // Guards the order in which objects move when most of their servers are out of use.
    void eligible_servers_follow_the_same_order()
    {
        server_ranking ranking;
        std::vector<std::uint64_t> even;
        for (std::uint64_t it = 0; it < 100; ++it) {
            ranking.add(it);
            if (it % 2 == 0) {
                even.push_back(it);
            }
        }
        auto expected = ranked(even, 7);
        expected.resize(5);
        CPPUNIT_ASSERT(expected ==
                       ranking.first_eligible(7, 5, [](std::uint64_t it) { return it % 2 == 0; }));
    }

    // Guards against servers that get more than their share of the requests without an object, and
    // against an endless search in a small set.
    void requests_without_object_spread_evenly()
    {
        server_ranking ranking;
        for (std::uint64_t it = 0; it < 10; ++it) {
            ranking.add(it);
        }
        std::map<std::uint64_t, int> first;
        constexpr int requests = 10000;
        for (std::uint64_t seed = 0; seed < requests; ++seed) {
            const auto drawn = ranking.sample(seed);
            CPPUNIT_ASSERT_EQUAL(server_ranking::kept_servers, drawn.size());
            CPPUNIT_ASSERT_EQUAL(drawn.size(),
                                 std::set<std::uint64_t>(drawn.begin(), drawn.end()).size());
            ++first[drawn.front()];
        }
        for (const auto& [server, count] : first) {
            CPPUNIT_ASSERT(count > requests / 10 * 3 / 4);
            CPPUNIT_ASSERT(count < requests / 10 * 5 / 4);
        }
        server_ranking small;
        small.add(1);
        small.add(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, small.sample(5).size());
    }

    // Guards against memory that grows with every object that was ever requested.
    void number_of_kept_objects_is_bounded()
    {
        server_ranking ranking;
        for (std::uint64_t it = 0; it < 20; ++it) {
            ranking.add(it);
        }
        for (std::uint64_t object = 0; object < 3 * server_ranking::max_objects; ++object) {
            CPPUNIT_ASSERT_EQUAL(server_ranking::kept_servers, ranking.first(object).size());
        }
        CPPUNIT_ASSERT(ranking.kept_objects() <= server_ranking::max_objects);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_ranking_test);

} // namespace toucan::policy
