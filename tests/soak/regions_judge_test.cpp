#include "regions_judge.h"

#include "soak_configuration.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace toucan::soak {

/// Check of the allowed regions: it reports each arrival that no version in force allows, and no
/// other one.
class regions_judge_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(regions_judge_test);
    CPPUNIT_TEST(route_and_workspace_bind_together);
    CPPUNIT_TEST(longest_prefix_of_the_host_binds);
    CPPUNIT_TEST(version_without_route_or_key_allows_no_region);
    CPPUNIT_TEST(each_kind_of_arrival_is_reported);
    CPPUNIT_TEST(replaced_version_counts_until_the_next_one_has_to_be_in_force);
    CPPUNIT_TEST(later_version_does_not_count);
    CPPUNIT_TEST(slowly_sent_request_may_use_the_version_of_its_begin);
    CPPUNIT_TEST(affected_daemon_may_use_older_versions);
    CPPUNIT_TEST(regions_of_all_versions_bind_affected_daemons);
    CPPUNIT_TEST(written_row_has_the_regions_and_keys);
    CPPUNIT_TEST_SUITE_END();

    using milliseconds = std::chrono::milliseconds;

    static steady_time at(int ms) { return steady_time(std::chrono::hours(1) + milliseconds(ms)); }

    static written_configuration configuration(std::uint64_t version, int written_ms,
                                               const std::string& swapped_region)
    {
        return {version,
                at(written_ms),
                {{"home", "a.example", "/home/", "desk", true, false, {"west"}},
                 {"inner", "a.example", "/home/inner/", "desk", true, false, {"east", "north"}},
                 {"other", "b.example", "/home/", "desk", true, false, {"east"}},
                 {"swap", "a.example", "/swap/", "desk", true, true, {swapped_region}},
                 {"read", "a.example", "/read/", "desk"}},
                {{"plain", {"plain-key"}}, {"east-only", {"east-key"}, {"east"}}}};
    }

    static sent_request request(const std::string& path, std::optional<std::string> key,
                                int sent_ms = 10000)
    {
        sent_request it;
        it.id = "r";
        it.path = path;
        it.key = std::move(key);
        it.sent = at(sent_ms);
        return it;
    }

    /// History of one request that ran in a region 20 ms after it was sent.
    static history ran_in(const std::string& region, const sent_request& it)
    {
        history all;
        all.configurations = {configuration(7, 0, "west")};
        all.requests = {it};
        all.executions = {
            {it.id, it.path, "b1", "desk", region + "-a", region, it.sent + milliseconds(20)}};
        return all;
    }

    static std::size_t violations(const history& it)
    {
        return check_allowed_regions(it, {}).size();
    }

    static region_set allowed(const std::string& path, std::optional<std::string> key,
                              const std::string& host = "a.example")
    {
        auto it = request(path, std::move(key));
        it.host = host;
        return regions_allowed_by(configuration(7, 0, "west"), it);
    }

public:
    // Guards against a check that misses the regions of the route or of the workspace.
    void route_and_workspace_bind_together()
    {
        CPPUNIT_ASSERT(allowed("/read/1", "plain-key") == region_set{true});
        CPPUNIT_ASSERT((allowed("/read/1", "east-key") == region_set{false, {"east"}}));
        CPPUNIT_ASSERT((allowed("/home/1", "plain-key") == region_set{false, {"west"}}));
        CPPUNIT_ASSERT(allowed("/home/1", "east-key") == region_set());
        CPPUNIT_ASSERT((allowed("/home/inner/1", "east-key") == region_set{false, {"east"}}));
    }

    // Guards against a request that is judged by a shorter prefix or by the prefix of another host.
    void longest_prefix_of_the_host_binds()
    {
        CPPUNIT_ASSERT(
            (allowed("/home/inner/1", "plain-key") == region_set{false, {"east", "north"}}));
        CPPUNIT_ASSERT((allowed("/home/inner", "plain-key") == region_set{false, {"west"}}));
        CPPUNIT_ASSERT(
            (allowed("/home/1", "plain-key", "b.example") == region_set{false, {"east"}}));
    }

    // Guards against an unknown route or key that counts as unrestricted.
    void version_without_route_or_key_allows_no_region()
    {
        CPPUNIT_ASSERT(allowed("/none/1", "plain-key") == region_set());
        CPPUNIT_ASSERT(allowed("/read/1", "unknown") == region_set());
        CPPUNIT_ASSERT(allowed("/read/1", std::nullopt) == region_set());
        CPPUNIT_ASSERT((allowed("/swap/1", std::nullopt) == region_set{false, {"west"}}));
    }

    // Guards against arrivals that are not checked because the server refused them.
    void each_kind_of_arrival_is_reported()
    {
        auto it = ran_in("east", request("/home/1", "plain-key"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations(it));
        it.executions.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations(it));
        for (const int status : {0, 421, 429, 503, 503}) {
            it.refused_arrivals.push_back({"r", "b1", "east", at(10020), status});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, violations(it));
        for (auto& arrival : it.refused_arrivals) {
            arrival.region = "west";
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations(it));
    }

    // Guards against false reports while two versions may be in force, and against a replaced
    // version that counts for ever.
    void replaced_version_counts_until_the_next_one_has_to_be_in_force()
    {
        for (const int sent_ms : {10000, 12499, 12500, 20000}) {
            auto it = ran_in("west", request("/swap/1", std::nullopt, sent_ms));
            it.configurations.push_back(configuration(14, 10000, "east"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{sent_ms < 12500 ? 0U : 1U}, violations(it));
        }
    }

    // Guards against an arrival that is judged by a version that did not exist yet.
    void later_version_does_not_count()
    {
        for (const int written_ms : {10020, 10021}) {
            auto it = ran_in("east", request("/swap/1", std::nullopt));
            it.configurations.push_back(configuration(14, written_ms, "east"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{written_ms == 10020 ? 0U : 1U}, violations(it));
        }
    }

    // Guards against a false report for a request whose route was selected when it began.
    void slowly_sent_request_may_use_the_version_of_its_begin()
    {
        auto slow = request("/swap/1", std::nullopt, 15000);
        slow.began = at(11000);
        auto it = ran_in("west", slow);
        it.configurations.push_back(configuration(14, 10000, "east"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations(it));
        it.requests[0].began = at(13000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations(it));
    }

    // Guards against false reports for a daemon that could not receive the version, directly or
    // from another daemon that could not either.
    void affected_daemon_may_use_older_versions()
    {
        auto it = ran_in("west", request("/swap/1", std::nullopt, 20000));
        it.configurations.push_back(configuration(14, 10000, "east"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations(it));
        it.daemon_fault_windows[0] = {{at(11000), at(17000)}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations(it));
        it.daemon_fault_windows[0] = {{at(12600), at(17000)}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations(it));
        it.daemon_fault_windows[1] = {{at(11000), at(17000)}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations(it));
        it.daemon_fault_windows.erase(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations(it));
    }

    // Guards against a check that passes over affected daemons although all versions agree.
    void regions_of_all_versions_bind_affected_daemons()
    {
        auto it = ran_in("west", request("/read/1", "east-key"));
        it.configurations.push_back(configuration(14, 9000, "east"));
        it.fault_windows = {{at(0), at(20000)}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations(it));
        it.executions[0].region = "east";
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations(it));
    }

    // Guards against a soak whose daemons get another configuration than the judge.
    void written_row_has_the_regions_and_keys()
    {
        for (const std::uint64_t number : {1U, 2U}) {
            const auto it = make_configuration(number, {});
            const auto row = to_json(it);
            CPPUNIT_ASSERT_EQUAL(it.version, row.at("version").get<std::uint64_t>());
            CPPUNIT_ASSERT_EQUAL(it.routes.size(), row.at("routes").size());
            CPPUNIT_ASSERT_EQUAL(it.workspaces.size(), row.at("tenants").size());
            using names = std::vector<std::string>;
            for (const auto& route : it.routes) {
                const auto& entry = row.at("routes").at(route.name);
                CPPUNIT_ASSERT_EQUAL(route.host, entry.at("host").get<std::string>());
                CPPUNIT_ASSERT_EQUAL(route.prefix, entry.at("prefix").get<std::string>());
                CPPUNIT_ASSERT_EQUAL(route.open, entry.value("public", false));
                CPPUNIT_ASSERT(route.allowed_regions == entry.value("allowed_regions", names()));
            }
            for (const auto& workspace : it.workspaces) {
                const auto& entry = row.at("tenants").at(workspace.name);
                CPPUNIT_ASSERT(workspace.keys == entry.at("api_keys").get<names>());
                CPPUNIT_ASSERT(workspace.allowed_regions ==
                               entry.value("allowed_regions", names()));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(regions_judge_test);

} // namespace toucan::soak
