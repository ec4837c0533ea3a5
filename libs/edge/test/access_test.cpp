#include "access_check.h"
#include "request_path_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace toucan::edge {

/// API keys, workspaces and the regions in which their requests may run.
class access_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(access_test);
    CPPUNIT_TEST(backend_server_receives_the_workspace_and_never_the_key);
    CPPUNIT_TEST(retry_carries_the_workspace_and_no_key);
    CPPUNIT_TEST(request_without_a_known_key_is_answered_401);
    CPPUNIT_TEST(public_route_needs_no_key);
    CPPUNIT_TEST(headers_are_forwarded_as_before_without_workspaces);
    CPPUNIT_TEST(request_with_a_body_is_denied_before_its_body);
    CPPUNIT_TEST(unreadable_entries_are_answered_503);
    CPPUNIT_TEST(withdrawn_key_ends_on_kept_connections_and_in_the_queue);
    CPPUNIT_TEST(queued_request_is_answered_503_if_its_key_may_be_valid);
    CPPUNIT_TEST(changed_regions_apply_to_queued_requests);
    CPPUNIT_TEST(request_with_a_withdrawn_key_is_not_sent_again);
    CPPUNIT_TEST(unconfirmed_keys_are_refused_only_if_revocation_is_strict);
    CPPUNIT_TEST(regions_of_route_and_workspace_both_apply);
    CPPUNIT_TEST(first_request_of_a_workspace_is_within_its_quota);
    CPPUNIT_TEST_SUITE_END();

    using reaction = scripted_backend::reaction;

    static constexpr const char* key = "first-key";

    static workspace make_workspace(const std::string& name,
                                    const std::vector<std::string>& regions = {})
    {
        workspace it;
        it.name = workspace_name(name);
        for (const auto& region : regions) {
            it.allowed_regions.emplace_back(region);
        }
        return it;
    }

    static workspace_table one_workspace(const std::vector<std::string>& regions = {})
    {
        return workspace_table::builder()
            .add(make_workspace("acme", regions), {key_digest::of(key)})
            .build();
    }

    static std::string authorization(const std::string& text = key)
    {
        return "Authorization: Bearer " + text + "\r\n";
    }

    static scripted_backend& add_answering(request_path_fixture& fixture, const std::string& name,
                                           const std::string& domain = "west-a")
    {
        return fixture.add_backend(
            name,
            [&fixture](const parsed_request& it) {
                return reaction{fixture.signed_response(it), {}, false};
            },
            "desk", domain);
    }

    static int status_of_read(request_path_fixture& fixture, const std::string& more,
                              const std::string& id = "id-1")
    {
        const auto answer = fixture.exchange(fixture.get("/read/x", id, more));
        CPPUNIT_ASSERT(answer);
        return answer->response.status;
    }

    /// Sends requests to the only backend server, which has one slot, until some wait.
    static std::vector<scripted_caller*> fill_queue(request_path_fixture& fixture)
    {
        std::vector<scripted_caller*> callers;
        for (int n = 0; n < 4; ++n) {
            callers.push_back(&fixture.connect());
            callers.back()->send(fixture.get(
                "/read/x", "id-" + std::to_string(n),
                authorization() + "Cookie: " + fixture.names().object_cookie + "=1\r\n"));
        }
        CPPUNIT_ASSERT(fixture.run_until([&] { return fixture.dispatch().waiting() >= 2; }));
        return callers;
    }

    static bool all_answered(const std::vector<scripted_caller*>& callers)
    {
        return std::all_of(callers.begin(), callers.end(),
                           [](const auto* it) { return !it->responses().empty(); });
    }

    static bool contains_key(const parsed_request& it)
    {
        if (it.request.body.find(key) != std::string::npos) {
            return true;
        }
        for (const auto& header : it.request.headers) {
            if (header.value.find(key) != std::string::npos) {
                return true;
            }
        }
        return false;
    }

public:
    // Guards against a key that reaches a backend server, and against a caller that passes itself
    // off as another workspace.
    void backend_server_receives_the_workspace_and_never_the_key()
    {
        request_path_fixture fixture;
        auto& backend = add_answering(fixture, "b1");
        fixture.configure({}, one_workspace());
        const std::string forged = fixture.names().workspace + ": other\r\n";
        const std::string lower = "toucan-workspace: third\r\n";
        for (const auto& headers :
             {authorization(), "authorization: bearer first-key\r\n" + forged,
              std::string("AUTHORIZATION: Bearer   first-key  \r\n").append(forged).append(lower),
              authorization() + "Connection: toucan-workspace\r\n" + forged}) {
            CPPUNIT_ASSERT_EQUAL(200, status_of_read(fixture, headers));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, backend.requests().size());
        for (const auto& it : backend.requests()) {
            CPPUNIT_ASSERT(!contains_key(it));
            std::vector<std::string> names;
            for (const auto& header : it.request.headers) {
                if (header.name == fixture.names().workspace || header.name == "toucan-workspace") {
                    names.push_back(header.value);
                }
            }
            CPPUNIT_ASSERT(names == std::vector<std::string>{"acme"});
        }
    }

    // The same on the path of a request that is sent a second time.
    void retry_carries_the_workspace_and_no_key()
    {
        request_path_fixture fixture;
        std::vector<scripted_backend*> backends;
        for (const auto* name : {"b1", "b2"}) {
            backends.push_back(&fixture.add_backend(name, [](const parsed_request&) {
                return reaction{{}, {}, true};
            }));
        }
        fixture.configure({}, one_workspace());
        status_of_read(fixture, authorization());
        for (const auto* it : backends) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it->requests().size());
            CPPUNIT_ASSERT(!contains_key(it->requests().front()));
            CPPUNIT_ASSERT_EQUAL(std::string("acme"),
                                 std::string(find_header(it->requests().front().request.headers,
                                                         fixture.names().workspace)));
        }
    }

    // Guards against requests that run without a key, or with one of several.
    void request_without_a_known_key_is_answered_401()
    {
        request_path_fixture fixture;
        auto& backend = add_answering(fixture, "b1");
        fixture.configure({}, one_workspace());
        for (const auto& headers :
             {std::string(), authorization("unknown"), authorization(""), authorization("first-ke"),
              std::string("Authorization: Basic first-key\r\n"),
              std::string("Authorization: first-key\r\n"), authorization() + authorization("x"),
              authorization() + authorization(),
              authorization() + "Connection: authorization\r\n"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(headers, 401, status_of_read(fixture, headers));
        }
        // A path without a route is 404 whatever the key.
        const auto answer = fixture.exchange(fixture.get("/none/x", "id-1"));
        CPPUNIT_ASSERT(answer && answer->response.status == 404);
        CPPUNIT_ASSERT(backend.requests().empty());
    }

    // A public route must serve callers without a key, and must not pass a key on.
    void public_route_needs_no_key()
    {
        request_path_fixture fixture;
        auto& backend = add_answering(fixture, "b1");
        fixture.configure([](std::vector<route>& all) { all[0].open = true; }, one_workspace());
        CPPUNIT_ASSERT_EQUAL(200, status_of_read(fixture, ""));
        CPPUNIT_ASSERT_EQUAL(
            200, status_of_read(fixture, authorization() + fixture.names().workspace + ": x\r\n"));
        for (const auto& it : backend.requests()) {
            CPPUNIT_ASSERT(!contains_key(it));
            CPPUNIT_ASSERT(find_header(it.request.headers, fixture.names().workspace).empty());
        }
    }

    // A deployment without workspaces may use the header for its own purposes.
    void headers_are_forwarded_as_before_without_workspaces()
    {
        request_path_fixture fixture;
        auto& backend = add_answering(fixture, "b1");
        fixture.configure();
        CPPUNIT_ASSERT_EQUAL(200, status_of_read(fixture, authorization()));
        CPPUNIT_ASSERT(contains_key(backend.requests().front()));
    }

    // Guards against memory that is spent on the bodies of callers without a key.
    void request_with_a_body_is_denied_before_its_body()
    {
        request_path_fixture fixture;
        fixture.callers().set_head_check(
            [&](const parsed_request& head) { return fixture.dispatch().check_head(head); });
        auto& backend = add_answering(fixture, "b1");
        fixture.configure({}, one_workspace());
        const auto head = [](const std::string& headers) {
            return "POST /write/x HTTP/1.1\r\nHost: desk.example\r\nToucan-Attempt-Id: "
                   "id-1\r\nContent-Length: 1000\r\n" +
                   headers + "\r\npart";
        };
        auto& unknown = fixture.connect();
        unknown.send(head(""));
        CPPUNIT_ASSERT(fixture.run_until([&] { return unknown.ended(); }));
        CPPUNIT_ASSERT_EQUAL(401, unknown.responses().front().response.status);
        auto& known = fixture.connect();
        known.send(head(authorization()));
        fixture.run_for(milliseconds(50));
        CPPUNIT_ASSERT(known.responses().empty() && !known.ended());
        known.send(std::string(996, 'x'));
        CPPUNIT_ASSERT(fixture.run_until([&] { return !known.responses().empty(); }));
        CPPUNIT_ASSERT_EQUAL(200, known.responses().front().response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, backend.requests().size());
    }

    // A 404 or 401 tells a caller not to come back, so an entry that exists but cannot be read is
    // answered 503.
    void unreadable_entries_are_answered_503()
    {
        request_path_fixture fixture;
        add_answering(fixture, "b1");
        auto broken = make_workspace("broken");
        broken.unreadable = true;
        const auto table = workspace_table::builder()
                               .add(make_workspace("acme"), {key_digest::of(key)})
                               .add(broken, {key_digest::of("second-key")})
                               .build();
        fixture.configure([](std::vector<route>& all) { all[1].unreadable = true; }, table);
        CPPUNIT_ASSERT_EQUAL(200, status_of_read(fixture, authorization()));
        CPPUNIT_ASSERT_EQUAL(503, status_of_read(fixture, authorization("second-key")));
        CPPUNIT_ASSERT_EQUAL(401, status_of_read(fixture, authorization("third-key")));
        const auto write = fixture.exchange(fixture.post("/write/x", "id-2"));
        CPPUNIT_ASSERT(write && write->response.status == 503);
        CPPUNIT_ASSERT(!find_header(write->response.headers, "Retry-After").empty());

        config_entries entries;
        entries.routes_incomplete = true;
        const routing_config config(1, std::move(entries));
        const auto denial = check_access(config, {}, "desk.example", "/read/x", {}, true).denial;
        CPPUNIT_ASSERT(denial == access_denial::unreadable_entry);

        fixture.configure({}, workspace_table::builder()
                                  .add(make_workspace("acme"), {key_digest::of(key)})
                                  .set_incomplete()
                                  .build());
        CPPUNIT_ASSERT_EQUAL(503, status_of_read(fixture, authorization("third-key")));
        CPPUNIT_ASSERT_EQUAL(401, status_of_read(fixture, ""));
    }

    // Guards against a key that goes on working after it was withdrawn: on a connection that was
    // opened before, for a request that waits, and for the requests behind it.
    void withdrawn_key_ends_on_kept_connections_and_in_the_queue()
    {
        request_path_fixture fixture;
        auto& backend = fixture.add_backend("b1", [&](const parsed_request& it) {
            return reaction{fixture.signed_response(it), milliseconds(300), false};
        });
        fixture.update_record(backend, [](backend_record& it) { it.slots = 1; });
        fixture.configure({}, one_workspace());
        std::vector<scripted_caller*> callers;
        for (int n = 0; n < 4; ++n) {
            callers.push_back(&fixture.connect());
            callers.back()->send(fixture.get(
                "/read/x", "id-" + std::to_string(n),
                authorization() + "Cookie: " + fixture.names().object_cookie + "=1\r\n"));
        }
        CPPUNIT_ASSERT(fixture.run_until([&] { return fixture.dispatch().waiting() >= 2; }));
        fixture.configure({}, workspace_table::builder()
                                  .add(make_workspace("acme"), {key_digest::of("new-key")})
                                  .build());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.dispatch().waiting());
        CPPUNIT_ASSERT(fixture.run_until([&] {
            return std::all_of(callers.begin(), callers.end(),
                               [](const auto* it) { return !it->responses().empty(); });
        }));
        int denied = 0;
        for (auto* it : callers) {
            denied += it->responses().front().response.status == 401 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(4 - static_cast<int>(backend.requests().size()), denied);
        CPPUNIT_ASSERT(denied >= 2);
        const auto before = backend.requests().size();
        callers.front()->send(fixture.get("/read/x", "id-9", authorization()));
        CPPUNIT_ASSERT(fixture.run_until([&] { return callers.front()->responses().size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(401, callers.front()->responses().back().response.status);
        CPPUNIT_ASSERT_EQUAL(before, backend.requests().size());
    }

    // A queued request must not run under the workspace to which its key belonged before, nor be
    // answered 401 because an entry cannot be read.
    void queued_request_is_answered_503_if_its_key_may_be_valid()
    {
        auto unreadable = make_workspace("acme");
        unreadable.unreadable = true;
        for (const auto& table :
             {workspace_table::builder().set_incomplete().build(),
              workspace_table::builder().add(unreadable, {key_digest::of(key)}).build(),
              workspace_table::builder()
                  .add(make_workspace("other"), {key_digest::of(key)})
                  .build()}) {
            request_path_fixture fixture;
            auto& backend = fixture.add_backend("b1", [&](const parsed_request& it) {
                return reaction{fixture.signed_response(it), milliseconds(300), false};
            });
            fixture.update_record(backend, [](backend_record& it) { it.slots = 1; });
            fixture.configure({}, one_workspace());
            const auto callers = fill_queue(fixture);
            const auto before = backend.requests().size();
            fixture.configure({}, table);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.dispatch().waiting());
            CPPUNIT_ASSERT(fixture.run_until([&] { return all_answered(callers); }));
            int refused = 0;
            for (const auto* it : callers) {
                const auto& response = it->responses().front().response;
                CPPUNIT_ASSERT(response.status == 200 || response.status == 503);
                if (response.status == 503) {
                    ++refused;
                    CPPUNIT_ASSERT(!find_header(response.headers, "Retry-After").empty());
                }
            }
            CPPUNIT_ASSERT(refused >= 2);
            CPPUNIT_ASSERT_EQUAL(before, backend.requests().size());
        }
    }

    // A request that waits must not run in a region that was excluded meanwhile.
    void changed_regions_apply_to_queued_requests()
    {
        request_path_fixture fixture;
        auto& west = fixture.add_backend("west-1", [&](const parsed_request& it) {
            return reaction{fixture.signed_response(it), milliseconds(300), false};
        });
        fixture.update_record(west, [](backend_record& it) { it.slots = 1; });
        fixture.configure({}, one_workspace({"west"}));
        const auto callers = fill_queue(fixture);
        const auto before = west.requests().size();
        auto& east = add_answering(fixture, "east-1", "east-a");
        fixture.configure({}, one_workspace({"east"}));
        CPPUNIT_ASSERT(fixture.run_until([&] { return all_answered(callers); }));
        CPPUNIT_ASSERT_EQUAL(before, west.requests().size());
        CPPUNIT_ASSERT_EQUAL(callers.size() - before, east.requests().size());
    }

    // A request that failed at one server must not start at another one with a key that has been
    // withdrawn meanwhile.
    void request_with_a_withdrawn_key_is_not_sent_again()
    {
        request_path_fixture fixture;
        std::vector<scripted_backend*> backends;
        for (const auto* name : {"b1", "b2"}) {
            backends.push_back(&fixture.add_backend(name, [](const parsed_request&) {
                return reaction{{}, milliseconds(200), true};
            }));
        }
        fixture.configure({}, one_workspace());
        auto& caller = fixture.connect();
        caller.send(fixture.get("/read/x", "id-1", authorization()));
        const auto received = [&] {
            return backends[0]->requests().size() + backends[1]->requests().size();
        };
        CPPUNIT_ASSERT(fixture.run_until([&] { return received() == 1; }));
        fixture.configure({}, workspace_table::builder().build());
        CPPUNIT_ASSERT(fixture.run_until([&] { return !caller.responses().empty(); }));
        fixture.run_for(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received());
    }

    // With strict revocation, a daemon that does not know whether keys have been withdrawn must
    // refuse them; without, it must go on.
    void unconfirmed_keys_are_refused_only_if_revocation_is_strict()
    {
        for (const bool strict : {false, true}) {
            bounds limits;
            limits.strict_revocation = strict;
            limits.revocation_time = milliseconds(5000);
            request_path_fixture fixture(limits);
            add_answering(fixture, "b1");
            fixture.configure({}, one_workspace());
            std::optional<milliseconds> age = milliseconds(4999);
            fixture.dispatch().set_config_age_source([&] { return age; });
            CPPUNIT_ASSERT_EQUAL(200, status_of_read(fixture, authorization()));
            age = milliseconds(5001);
            CPPUNIT_ASSERT_EQUAL(strict ? 503 : 200, status_of_read(fixture, authorization()));
            age.reset();
            CPPUNIT_ASSERT_EQUAL(strict ? 503 : 200, status_of_read(fixture, authorization()));
            CPPUNIT_ASSERT_EQUAL(401, status_of_read(fixture, authorization("unknown")));
        }
    }

    // Guards against requests that run in a region that the route or the workspace excludes, also
    // when their own region has no server left.
    void regions_of_route_and_workspace_both_apply()
    {
        request_path_fixture fixture;
        auto& west = add_answering(fixture, "west-1", "west-a");
        auto& east = add_answering(fixture, "east-1", "east-a");
        const auto only = [](const std::string& region) {
            return [region](std::vector<route>& all) {
                all[0].allowed_regions = {region_name(region)};
            };
        };
        fixture.configure({}, one_workspace({"east"}));
        CPPUNIT_ASSERT_EQUAL(200, status_of_read(fixture, authorization()));
        CPPUNIT_ASSERT(west.requests().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, east.requests().size());
        fixture.configure(only("west"), one_workspace({"east", "west"}));
        CPPUNIT_ASSERT_EQUAL(200, status_of_read(fixture, authorization()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, west.requests().size());
        fixture.configure(only("west"), one_workspace({"east"}));
        CPPUNIT_ASSERT_EQUAL(503, status_of_read(fixture, authorization()));
        fixture.configure({}, one_workspace({"east"}));
        fixture.update_record(east, [](backend_record& it) { it.leaving = true; });
        CPPUNIT_ASSERT_EQUAL(503, status_of_read(fixture, authorization()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, west.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, east.requests().size());
    }

    // A daemon that has reports of the others must not keep to an equal share of the quota when the
    // first request of a workspace arrives: with many daemons that is a fraction of a request.
    void first_request_of_a_workspace_is_within_its_quota()
    {
        request_path_fixture fixture;
        add_answering(fixture, "b1");
        workspace_table::builder builder;
        for (int n = 0; n < 20; ++n) {
            auto it = make_workspace("w" + std::to_string(n));
            it.quota = {5, 5};
            builder.add(it, {key_digest::of("key-" + std::to_string(n))});
        }
        fixture.configure({}, builder.build());
        auto& limits = fixture.dispatch().workspaces();
        limits.set_members(98, 98);
        limits.record_peers({});
        for (int n = 0; n < 20; ++n) {
            CPPUNIT_ASSERT_EQUAL(
                200, status_of_read(fixture, authorization("key-" + std::to_string(n))));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(access_test);

} // namespace toucan::edge
