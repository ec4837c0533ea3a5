#include "backend_rows.h"
#include "request_path_fixture.h"

#include "toucan/base/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace toucan::edge {

/// Regions in which the requests of a route or workspace may run, while configurations, servers and
/// addresses change. The daemon is in region `west`.
class allowed_regions_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(allowed_regions_test);
    CPPUNIT_TEST(queued_request_without_a_restriction_leaves_its_region);
    CPPUNIT_TEST(queued_request_follows_the_route_that_replaces_its_own);
    CPPUNIT_TEST(queued_request_keeps_its_regions_when_its_route_is_removed);
    CPPUNIT_TEST(queued_request_follows_workspaces_that_are_introduced);
    CPPUNIT_TEST(queued_request_follows_a_route_that_is_no_longer_public);
    CPPUNIT_TEST(queued_request_passes_no_key_on_if_workspaces_come_or_go);
    CPPUNIT_TEST(key_that_is_sent_on_a_public_route_binds_to_the_regions_of_its_workspace);
    CPPUNIT_TEST(key_of_an_unreadable_workspace_is_refused_on_a_public_route);
    CPPUNIT_TEST(request_that_waits_for_its_connection_follows_the_configuration);
    CPPUNIT_TEST(request_that_waits_for_its_connection_does_not_reach_another_server);
    CPPUNIT_TEST(request_that_waits_for_its_connection_goes_to_another_server_at_no_cost);
    CPPUNIT_TEST(request_that_waits_for_its_connection_is_not_sent_with_a_withdrawn_key);
    CPPUNIT_TEST(request_that_waits_for_its_connection_passes_no_key_on);
    CPPUNIT_TEST(resend_that_waits_for_its_connection_follows_the_configuration);
    CPPUNIT_TEST(address_taken_by_a_server_of_another_region_is_not_used);
    CPPUNIT_TEST(row_of_an_earlier_run_does_not_move_a_server);
    CPPUNIT_TEST(request_in_progress_is_sent_again_only_where_it_is_allowed_now);
    CPPUNIT_TEST(request_before_the_first_plan_runs_only_where_it_is_allowed);
    CPPUNIT_TEST(server_of_an_unknown_failure_domain_is_in_no_allowed_region);
    CPPUNIT_TEST(server_that_moves_to_another_region_gets_no_queued_request);
    CPPUNIT_TEST(longest_prefix_of_the_path_as_sent_selects_the_regions);
    CPPUNIT_TEST(restricted_requests_are_counted_by_the_region_of_their_server);
    CPPUNIT_TEST_SUITE_END();

    using reaction = scripted_backend::reaction;
    using change = std::function<void(std::vector<route>&)>;

    static constexpr const char* key = "first-key";

    static workspace_table one_workspace(const std::vector<std::string>& regions,
                                         const std::string& name = "acme")
    {
        workspace it;
        it.name = workspace_name(name);
        for (const auto& region : regions) {
            it.allowed_regions.emplace_back(region);
        }
        return workspace_table::builder().add(it, {key_digest::of(key)}).build();
    }

    static std::string authorization()
    {
        return std::string("Authorization: Bearer ") + key + "\r\n";
    }

    /// Restricts the route `read` to one region.
    static change only(const std::string& region)
    {
        return [region](std::vector<route>& all) {
            all[0].allowed_regions = {region_name(region)};
        };
    }

    static scripted_backend& add_answering(request_path_fixture& fixture, const std::string& name,
                                           const std::string& domain,
                                           milliseconds delay = milliseconds(0))
    {
        return fixture.add_backend(
            name,
            [&fixture, delay](const parsed_request& it) {
                return reaction{fixture.signed_response(it), delay, false};
            },
            "desk", domain);
    }

    static parsed_request read_request(const request_path_fixture& fixture)
    {
        parsed_request it;
        it.host = "desk.example";
        it.request = {"GET", "/read/x", {{fixture.names().attempt_id, "id-1"}}, {}};
        return it;
    }

    static parsed_request keyed_read_request(const request_path_fixture& fixture)
    {
        auto it = read_request(fixture);
        it.request.headers.push_back({fixture.names().authorization, std::string("Bearer ") + key});
        return it;
    }

    /// Limits with which requests leave their region as soon as it has no server.
    static bounds without_shift_limit()
    {
        bounds it;
        it.max_shift = 10;
        return it;
    }

    /// Requests that wait for the only server, which has one slot in region `west`.
    struct queue {
        scripted_backend& west;
        std::vector<scripted_caller*> callers;
    };

    static queue fill_queue(request_path_fixture& fixture, const change& first = {},
                            const workspace_table& workspaces = {})
    {
        auto& west = add_answering(fixture, "west-1", "west-a", milliseconds(300));
        fixture.update_record(west, [](backend_record& it) { it.slots = 1; });
        fixture.configure(first, workspaces);
        queue it{west, {}};
        for (int n = 0; n < 4; ++n) {
            it.callers.push_back(&fixture.connect());
            it.callers.back()->send(fixture.get(
                "/read/x", "id-" + std::to_string(n),
                authorization() + "Cookie: " + fixture.names().object_cookie + "=1\r\n"));
        }
        CPPUNIT_ASSERT(fixture.run_until([&] { return fixture.dispatch().waiting() >= 2; }));
        return it;
    }

    static bool all_answered(const queue& it)
    {
        return std::all_of(it.callers.begin(), it.callers.end(),
                           [](const auto* caller) { return !caller->responses().empty(); });
    }

    /// Replaces the server in `west` by one in `east` and waits for the callers of a queue.
    /// @return number of requests that the server in `east` has received.
    static std::size_t requests_in_east(request_path_fixture& fixture, const queue& it)
    {
        auto& east = add_answering(fixture, "east-1", "east-a");
        fixture.update_record(it.west, [](backend_record& record) { record.leaving = true; });
        fixture.dispatch().schedule_dispatch();
        CPPUNIT_ASSERT(fixture.run_until([&] { return all_answered(it); }));
        return east.requests().size();
    }

public:
    // Shows that the other tests of the queue would see a request in `east`.
    void queued_request_without_a_restriction_leaves_its_region()
    {
        request_path_fixture fixture(without_shift_limit());
        const auto waiting = fill_queue(fixture);
        fixture.configure();
        CPPUNIT_ASSERT(requests_in_east(fixture, waiting) >= 2);
    }

    // Guards against a queued request that runs by the regions of a route which another one with
    // the same prefix has replaced.
    void queued_request_follows_the_route_that_replaces_its_own()
    {
        request_path_fixture fixture(without_shift_limit());
        const auto waiting = fill_queue(fixture);
        fixture.configure([](std::vector<route>& all) {
            all[0].name = "read-2";
            all[0].allowed_regions = {region_name("west")};
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_in_east(fixture, waiting));
    }

    // Guards against a queued request that returns to the regions of the configuration of its
    // arrival when a later configuration has no readable entry of its route.
    void queued_request_keeps_its_regions_when_its_route_is_removed()
    {
        for (const bool unreadable : {false, true}) {
            request_path_fixture fixture(without_shift_limit());
            const auto waiting = fill_queue(fixture);
            fixture.configure(only("west"));
            fixture.configure([&](std::vector<route>& all) {
                if (unreadable) {
                    all[0].unreadable = true;
                }
                else {
                    all.erase(all.begin());
                }
            });
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_in_east(fixture, waiting));
        }
    }

    // Guards against a request that arrived before the configuration had workspaces and then runs
    // where the workspace of its key must not run.
    void queued_request_follows_workspaces_that_are_introduced()
    {
        request_path_fixture fixture(without_shift_limit());
        const auto waiting = fill_queue(fixture);
        fixture.configure({}, one_workspace({"west"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_in_east(fixture, waiting));
    }

    // Guards against a request that arrived on a public route and, once the route needs a key, runs
    // where the workspace of its key must not run.
    void queued_request_follows_a_route_that_is_no_longer_public()
    {
        request_path_fixture fixture(without_shift_limit());
        const auto waiting = fill_queue(
            fixture, [](std::vector<route>& all) { all[0].open = true; }, one_workspace({"west"}));
        fixture.configure({}, one_workspace({"west"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_in_east(fixture, waiting));
    }

    // Guards against an API key that reaches a backend server because the request arrived when the
    // configuration had no workspaces, or runs when it has none any more.
    void queued_request_passes_no_key_on_if_workspaces_come_or_go()
    {
        for (const bool come : {true, false}) {
            request_path_fixture fixture;
            const auto with = one_workspace({});
            const workspace_table without;
            const auto waiting = fill_queue(fixture, {}, come ? without : with);
            const auto before = waiting.west.requests().size();
            fixture.configure({}, come ? with : without);
            CPPUNIT_ASSERT(fixture.run_until([&] { return all_answered(waiting); }));
            const auto& requests = waiting.west.requests();
            CPPUNIT_ASSERT(requests.size() > before);
            for (auto n = before; n < requests.size(); ++n) {
                const auto& headers = requests[n].request.headers;
                CPPUNIT_ASSERT(find_header(headers, fixture.names().authorization).empty());
            }
        }
    }

    // Guards against a request on a public route that runs where the workspace of its key must not
    // run. Otherwise the workspace has no effect there: no header, and a key of nobody is served.
    void key_that_is_sent_on_a_public_route_binds_to_the_regions_of_its_workspace()
    {
        request_path_fixture fixture;
        auto& west = add_answering(fixture, "west-1", "west-a");
        auto& east = add_answering(fixture, "east-1", "east-a");
        const auto open = [](std::vector<route>& all) {
            all[0].open = true;
        };
        fixture.configure(open, one_workspace({"east"}));
        auto answer = fixture.exchange(fixture.get("/read/x", "id-1", authorization()));
        CPPUNIT_ASSERT(answer && answer->response.status == 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, west.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, east.requests().size());
        const auto& headers = east.requests().front().request.headers;
        CPPUNIT_ASSERT(find_header(headers, fixture.names().workspace).empty());
        fixture.configure(
            [&](std::vector<route>& all) {
                open(all);
                only("west")(all);
            },
            one_workspace({"east"}));
        answer = fixture.exchange(fixture.get("/read/x", "id-2", authorization()));
        CPPUNIT_ASSERT(answer && answer->response.status == 503);
        answer = fixture.exchange(
            fixture.get("/read/x", "id-3", "Authorization: Bearer unknown-key\r\n"));
        CPPUNIT_ASSERT(answer && answer->response.status == 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, west.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, east.requests().size());
    }

    // Guards against a request that runs anywhere because the regions of the workspace of its key
    // are not known: on arrival, and when the entry becomes unreadable while the request waits.
    void key_of_an_unreadable_workspace_is_refused_on_a_public_route()
    {
        workspace broken;
        broken.name = workspace_name("acme");
        broken.unreadable = true;
        const auto unreadable =
            workspace_table::builder().add(broken, {key_digest::of(key)}).build();
        const auto open = [](std::vector<route>& all) {
            all[0].open = true;
        };
        request_path_fixture fixture;
        const auto waiting = fill_queue(fixture, open, one_workspace({}));
        const auto before = waiting.west.requests().size();
        fixture.configure(open, unreadable);
        CPPUNIT_ASSERT(fixture.run_until([&] { return all_answered(waiting); }));
        const auto answer = fixture.exchange(fixture.get("/read/x", "id-9", authorization()));
        CPPUNIT_ASSERT(answer && answer->response.status == 503);
        CPPUNIT_ASSERT_EQUAL(before, waiting.west.requests().size());
        CPPUNIT_ASSERT(fixture.exchange(fixture.get("/read/x", "id-10"))->response.status == 200);
    }

    // Guards against a request that is written to a server in a region which the configuration has
    // excluded while the connection was being opened.
    void request_that_waits_for_its_connection_follows_the_configuration()
    {
        request_path_fixture fixture;
        auto& east = add_answering(fixture, "east-1", "east-a");
        fixture.configure();
        std::optional<http_response> answer;
        fixture.dispatch().handle(read_request(fixture),
                                  [&](const http_response& it) { answer = it; });
        fixture.configure(only("west"));
        fixture.run_until([&] { return answer.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, east.requests().size());
        CPPUNIT_ASSERT(answer && answer->status == 503);
    }

    // Guards against a request that is written to an address which, while the connection was being
    // opened, has passed from a server of an allowed region to one of another region: with another
    // name, or with the same name in a new run.
    void request_that_waits_for_its_connection_does_not_reach_another_server()
    {
        for (const auto* name : {"s2", "s1"}) {
            request_path_fixture fixture;
            auto& server = add_answering(fixture, "s1", "west-a");
            fixture.configure(only("west"));
            std::optional<http_response> answer;
            fixture.dispatch().handle(read_request(fixture),
                                      [&](const http_response& it) { answer = it; });
            if (name != server.name()) {
                fixture.servers().remove(backend_server_name("s1"));
            }
            fixture.update_record(server, [&](backend_record& it) {
                it.name = backend_server_name(name);
                it.failure_domain = failure_domain_name("east-a");
                it.started_ms = 2;
            });
            fixture.run_until([&] { return answer.has_value(); });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0}, server.requests().size());
        }
    }

    // Guards against a request that reaches a server which began to leave, was evacuated or
    // removed, or was excluded by its region while the connection was being opened. The server is
    // not to blame and nothing was sent, so the request must not use up its only attempt.
    void request_that_waits_for_its_connection_goes_to_another_server_at_no_cost()
    {
        using change_of_fleet = std::function<void(request_path_fixture&, scripted_backend&)>;
        const auto one_attempt = [](std::vector<route>& all) {
            all[0].max_attempts = 1;
        };
        const std::vector<std::pair<std::string, change_of_fleet>> changes{
            {"leaving",
             [](auto& fixture, auto& first) {
                 fixture.update_record(first, [](backend_record& it) { it.leaving = true; });
             }},
            {"evacuated",
             [](auto& fixture, auto&) {
                 fixture.servers().set_evacuated(failure_domain_name("west-a"), true);
             }},
            {"removed",
             [](auto& fixture, auto&) {
                 fixture.servers().remove(backend_server_name("first"));
             }},
            {"excluded", [&](auto& fixture, auto&) {
                 fixture.configure([&](std::vector<route>& all) {
                     one_attempt(all);
                     only("east")(all);
                 });
             }}};
        for (const auto& [name, apply] : changes) {
            request_path_fixture fixture(without_shift_limit());
            auto& first = add_answering(fixture, "first", "west-a");
            fixture.configure(one_attempt);
            const auto record = fixture.servers().all().begin()->second;
            std::optional<http_response> answer;
            fixture.dispatch().handle(read_request(fixture),
                                      [&](const http_response& it) { answer = it; });
            auto& second = add_answering(fixture, "second", "east-a");
            apply(fixture, first);
            fixture.run_until([&] { return answer.has_value(); });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0}, first.requests().size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{1}, second.requests().size());
            CPPUNIT_ASSERT_MESSAGE(name, answer && answer->status == 200);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0.0, record->health.failure_share());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0.0, record->local_load);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::uint32_t{0}, record->connections);
        }
    }

    // Guards against a request that runs with a key which was withdrawn while the connection was
    // being opened.
    void request_that_waits_for_its_connection_is_not_sent_with_a_withdrawn_key()
    {
        request_path_fixture fixture;
        auto& west = add_answering(fixture, "west-1", "west-a");
        fixture.configure({}, one_workspace({}));
        std::optional<http_response> answer;
        fixture.dispatch().handle(keyed_read_request(fixture),
                                  [&](const http_response& it) { answer = it; });
        fixture.configure({}, workspace_table::builder().build());
        fixture.run_until([&] { return answer.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, west.requests().size());
        CPPUNIT_ASSERT(answer && answer->status == 401);
    }

    // Guards against an API key that reaches a backend server because the configuration got its
    // workspaces while the connection was being opened.
    void request_that_waits_for_its_connection_passes_no_key_on()
    {
        request_path_fixture fixture;
        auto& west = add_answering(fixture, "west-1", "west-a");
        fixture.configure();
        std::optional<http_response> answer;
        fixture.dispatch().handle(keyed_read_request(fixture),
                                  [&](const http_response& it) { answer = it; });
        fixture.configure({}, one_workspace({}));
        fixture.run_until([&] { return answer.has_value(); });
        CPPUNIT_ASSERT(answer && answer->status == 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, west.requests().size());
        const auto& headers = west.requests().front().request.headers;
        CPPUNIT_ASSERT(find_header(headers, fixture.names().authorization).empty());
    }

    // The same for a request that is sent again: it must not be written where it may not run any
    // more, and an attempt of which nothing was sent must not end it.
    void resend_that_waits_for_its_connection_follows_the_configuration()
    {
        for (const bool excluded : {false, true}) {
            request_path_fixture fixture(without_shift_limit());
            auto& closed = add_answering(fixture, "closed", "west-a");
            closed.stop();
            auto& second = add_answering(fixture, "second", "east-a");
            fixture.configure();
            std::optional<http_response> answer;
            fixture.dispatch().handle(read_request(fixture),
                                      [&](const http_response& it) { answer = it; });
            const auto& resent =
                fixture.all_metrics().count("toucan_edge_requests_total{outcome=\"resent\"}");
            CPPUNIT_ASSERT(fixture.step_until([&] { return resent.load() == 1; }));
            auto& third = add_answering(fixture, "third", "east-a");
            if (excluded) {
                fixture.configure(only("west"));
            }
            else {
                fixture.update_record(second, [](backend_record& it) { it.leaving = true; });
            }
            CPPUNIT_ASSERT(fixture.run_until([&] { return answer.has_value(); }));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, second.requests().size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{excluded ? 0U : 1U}, third.requests().size());
            CPPUNIT_ASSERT_EQUAL(excluded ? 503 : 200, answer->status);
        }
    }

    // Guards against a request to a server whose row is still there although the row of a server
    // of another region names the same address.
    void address_taken_by_a_server_of_another_region_is_not_used()
    {
        request_path_fixture fixture;
        auto& server = add_answering(fixture, "s1", "west-a");
        fixture.configure(only("west"));
        fixture.update_record(server, [](backend_record& it) {
            it.name = backend_server_name("s2");
            it.failure_domain = failure_domain_name("east-a");
            it.started_ms = 2;
        });
        const auto answer = fixture.exchange(fixture.get("/read/x", "id-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requests().size());
        CPPUNIT_ASSERT(answer && answer->response.status == 503);
    }

    // Guards against a row that an earlier run of a server has written and that arrives after the
    // row of the present run: it would put the server back to its former address and region.
    void row_of_an_earlier_run_does_not_move_a_server()
    {
        /// Codec of rows with the text `STARTED DOMAIN`.
        class run_codec final : public record_codec {
        public:
            std::map<std::string, vm_address> addresses;

            [[nodiscard]] std::string backend_table() const override { return "servers"; }
            [[nodiscard]] std::string operator_table() const override { return "operator"; }
            [[nodiscard]] std::optional<backend_record>
            decode_backend(const table_row& from) const override
            {
                backend_record it;
                it.name = backend_server_name(from.key);
                it.service = service_name("desk");
                char* end = nullptr;
                it.started_ms = std::strtoll(from.value.c_str(), &end, 10);
                const std::string domain(end + 1);
                it.failure_domain = failure_domain_name(domain);
                it.address = addresses.at(domain);
                it.slots = 4;
                return it;
            }
            [[nodiscard]] operator_record classify(const table_row& /*it*/) const override
            {
                return {};
            }
            [[nodiscard]] std::shared_ptr<const routing_config>
            decode_configuration(const table_row& /*it*/) const override
            {
                return nullptr;
            }
        };

        request_path_fixture fixture;
        auto& west = add_answering(fixture, "present", "west-a");
        auto& east = add_answering(fixture, "former", "east-a");
        run_codec codec;
        codec.addresses = {{"west-a", west.address()}, {"east-a", east.address()}};
        for (const auto* name : {"present", "former"}) {
            fixture.servers().remove(backend_server_name(name));
        }
        manual_clock time;
        time.advance(std::chrono::hours(1));
        backend_rows rows(time, codec, fixture.servers());
        rows.change({"s1", "200 west-a", 4, false});
        rows.change({"s1", "100 east-a", 5, false});
        fixture.configure();
        const auto answer = fixture.exchange(fixture.get("/read/x", "id-1"));
        CPPUNIT_ASSERT(answer && answer->response.status == 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, east.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, west.requests().size());
    }

    // A request that failed at one server, or that has no response from it for long, must not be
    // sent to a region that was excluded meanwhile, nor under the workspace to which its key
    // belonged before.
    void request_in_progress_is_sent_again_only_where_it_is_allowed_now()
    {
        for (const bool hedged : {false, true}) {
            const auto requests_after = [&](const change& second,
                                            const workspace_table& workspaces) {
                request_path_fixture fixture;
                std::vector<scripted_backend*> east;
                for (const auto* name : {"east-1", "east-2"}) {
                    east.push_back(&fixture.add_backend(
                        name,
                        [hedged](const parsed_request&) {
                            return reaction{{}, milliseconds(hedged ? 5000 : 200), !hedged};
                        },
                        "desk", "east-a"));
                }
                fixture.configure({}, one_workspace({}));
                auto& caller = fixture.connect();
                caller.send(fixture.get("/read/x", "id-1", authorization()));
                const auto received = [&] {
                    return east[0]->requests().size() + east[1]->requests().size();
                };
                CPPUNIT_ASSERT(fixture.run_until([&] { return received() == 1; }));
                fixture.configure(second, workspaces);
                CPPUNIT_ASSERT(fixture.run_until([&] { return !caller.responses().empty(); }));
                return received();
            };
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests_after({}, one_workspace({})));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_after(only("west"), one_workspace({})));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_after({}, one_workspace({"west"})));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_after({}, one_workspace({}, "other")));
        }
    }

    // Before the first plan of a service, the region of the daemon stands for all regions.
    void request_before_the_first_plan_runs_only_where_it_is_allowed()
    {
        request_path_fixture fixture;
        auto& west = add_answering(fixture, "west-1", "west-a");
        auto& east = add_answering(fixture, "east-1", "east-a");
        route it;
        it.name = "read";
        it.host = "desk.example";
        it.prefix = "/read/";
        it.kind = route_kind::idempotent;
        it.timeout = milliseconds(1000);
        it.objective = milliseconds(400);
        it.services = {{service_name("desk"), 1}};
        it.max_attempts = 2;
        it.allowed_regions = {region_name("east")};
        config_entries entries;
        entries.routes = {it};
        fixture.dispatch().set_config(std::make_shared<routing_config>(1, std::move(entries)));
        auto& caller = fixture.connect();
        caller.send(fixture.get("/read/x", "id-1"));
        fixture.run_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, west.requests().size());
        fixture.dispatch().update_plans([](const region_name&, std::uint32_t) { return 0.0; });
        fixture.dispatch().schedule_dispatch();
        CPPUNIT_ASSERT(fixture.run_until([&] { return !caller.responses().empty(); }));
        CPPUNIT_ASSERT_EQUAL(200, caller.responses().front().response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, west.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, east.requests().size());
    }

    // The region of a failure domain that the settings do not name is not known, so it is none of
    // the allowed ones.
    void server_of_an_unknown_failure_domain_is_in_no_allowed_region()
    {
        request_path_fixture fixture;
        auto& unknown = add_answering(fixture, "s1", "nowhere-a");
        fixture.configure(only("west"));
        auto answer = fixture.exchange(fixture.get("/read/x", "id-1"));
        CPPUNIT_ASSERT(answer && answer->response.status == 503);
        fixture.configure({}, one_workspace({"west"}));
        answer = fixture.exchange(fixture.get("/read/x", "id-2", authorization()));
        CPPUNIT_ASSERT(answer && answer->response.status == 503);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unknown.requests().size());
    }

    // A server that starts again in another region under the same name must not get the requests
    // that waited for it.
    void server_that_moves_to_another_region_gets_no_queued_request()
    {
        request_path_fixture fixture(without_shift_limit());
        const auto waiting = fill_queue(fixture, only("west"));
        const auto before = waiting.west.requests().size();
        fixture.update_record(waiting.west, [](backend_record& it) {
            it.failure_domain = failure_domain_name("east-a");
            it.started_ms = 2;
        });
        fixture.dispatch().schedule_dispatch();
        fixture.run_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_in_east(fixture, waiting));
        CPPUNIT_ASSERT_EQUAL(before, waiting.west.requests().size());
    }

    // Paths are compared as they are sent: nothing is decoded or joined.
    void longest_prefix_of_the_path_as_sent_selects_the_regions()
    {
        request_path_fixture fixture;
        auto& west = add_answering(fixture, "west-1", "west-a");
        auto& east = add_answering(fixture, "east-1", "east-a");
        fixture.configure([](std::vector<route>& all) {
            all[0].allowed_regions = {region_name("west")};
            all[1] = all[0];
            all[1].name = "east";
            all[1].prefix = "/read/east/";
            all[1].allowed_regions = {region_name("east")};
        });
        const auto runs_in = [&](const std::string& target, const std::string& host) {
            const auto before = std::make_pair(west.requests().size(), east.requests().size());
            const auto answer =
                fixture.exchange("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" +
                                 fixture.names().attempt_id + ": id-1\r\n\r\n");
            CPPUNIT_ASSERT(answer);
            if (answer->response.status != 200) {
                return std::to_string(answer->response.status);
            }
            return std::string(west.requests().size() > before.first    ? "west"
                               : east.requests().size() > before.second ? "east"
                                                                        : "none");
        };
        const std::string host = "desk.example";
        for (const auto& [target, region] : std::vector<std::pair<std::string, std::string>>{
                 {"/read/", "west"},
                 {"/read/east", "west"},
                 {"/read/east?x=/read/east/", "west"},
                 {"/read/?x=/read/east/", "west"},
                 {"/read//east/x", "west"},
                 {"/read/./east/x", "west"},
                 {"/read/%65ast/x", "west"},
                 {"/read/East/x", "west"},
                 {"/read/east/", "east"},
                 {"/read/east/x?y=/read/", "east"},
                 {"/read/east//x", "east"},
                 {"/read/east/../x", "east"},
                 {"/READ/x", "404"},
                 {"/x/../read/x", "404"},
                 {"http://desk.example/read/east/x", "404"}}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(target, region, runs_in(target, host));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("east"), runs_in("/read/east/x", "desk.example:8080"));
        CPPUNIT_ASSERT_EQUAL(std::string("404"), runs_in("/read/east/x", "DESK.example"));
    }

    // Operators tell from the counter in which regions the requests with allowed regions run.
    void restricted_requests_are_counted_by_the_region_of_their_server()
    {
        request_path_fixture fixture;
        add_answering(fixture, "west-1", "west-a");
        add_answering(fixture, "east-1", "east-a");
        const auto& west =
            fixture.all_metrics().count("toucan_edge_restricted_requests_total{region=\"west\"}");
        const auto& east =
            fixture.all_metrics().count("toucan_edge_restricted_requests_total{region=\"east\"}");
        fixture.configure();
        CPPUNIT_ASSERT(fixture.exchange(fixture.get("/read/x", "id-1")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, west.load() + east.load());
        fixture.configure(only("east"));
        CPPUNIT_ASSERT(fixture.exchange(fixture.get("/read/x", "id-2")));
        fixture.configure({}, one_workspace({"west"}));
        CPPUNIT_ASSERT(fixture.exchange(fixture.get("/read/x", "id-3", authorization())));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, west.load());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, east.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(allowed_regions_test);

} // namespace toucan::edge
