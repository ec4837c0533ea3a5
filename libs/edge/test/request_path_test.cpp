#include "request_path_fixture.h"

#include "toucan/base/stable_hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <string>

namespace toucan::edge {

/// Guarantees of the request path, checked at the connections of callers and backend servers.
class request_path_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_path_test);
    CPPUNIT_TEST(request_and_response_are_forwarded_unchanged);
    CPPUNIT_TEST(consecutive_requests_on_a_connection_are_parsed);
    CPPUNIT_TEST(surplus_response_is_discarded);
    CPPUNIT_TEST(unsigned_success_is_not_forwarded);
    CPPUNIT_TEST(truncated_response_is_not_forwarded);
    CPPUNIT_TEST(non_idempotent_request_is_not_resent_if_it_may_have_run);
    CPPUNIT_TEST(non_idempotent_request_is_resent_if_it_has_not_run);
    CPPUNIT_TEST(unavailable_without_not_run_header_is_not_forwarded);
    CPPUNIT_TEST(misdirected_request_is_resent);
    CPPUNIT_TEST(caller_disconnect_aborts_idempotent_request);
    CPPUNIT_TEST(request_of_a_caller_that_has_left_is_not_started);
    CPPUNIT_TEST(caller_disconnect_does_not_abort_non_idempotent_request);
    CPPUNIT_TEST(leaving_backend_server_receives_no_new_requests);
    CPPUNIT_TEST(evacuated_domain_receives_no_requests);
    CPPUNIT_TEST(evacuation_reported_by_other_daemons_applies);
    CPPUNIT_TEST(cold_backend_server_stays_within_its_rate_limit);
    CPPUNIT_TEST(requests_stay_within_allowed_regions);
    CPPUNIT_TEST(connection_of_an_earlier_run_is_not_kept);
    CPPUNIT_TEST(route_timeout_limits_the_response_time);
    CPPUNIT_TEST(backend_server_receives_the_remaining_time);
    CPPUNIT_TEST(missing_configuration_and_unknown_route_are_distinguished);
    CPPUNIT_TEST(older_configuration_is_ignored);
    CPPUNIT_TEST(request_without_backend_server_is_refused_at_once);
    CPPUNIT_TEST(graceful_stop_completes_requests_in_progress);
    CPPUNIT_TEST(stopping_daemon_refuses_requests_it_cannot_complete);
    CPPUNIT_TEST(idempotent_request_is_hedged_if_a_backend_server_is_silent);
    CPPUNIT_TEST(connection_to_a_distant_server_is_opened_ahead);
    CPPUNIT_TEST(server_without_row_is_used_only_if_no_other_is_left);
    CPPUNIT_TEST(announced_rate_limit_is_kept_as_long_as_it_is_announced);
    CPPUNIT_TEST(refusal_does_not_end_a_rate_limit);
    CPPUNIT_TEST_SUITE_END();

    using reaction = scripted_backend::reaction;

    static scripted_backend::reaction_script
    signed_response_script(request_path_fixture& fixture, milliseconds delay = milliseconds(0))
    {
        return [&fixture, delay](const parsed_request& it) {
            return reaction{fixture.signed_response(it), delay, false};
        };
    }

    static std::string not_run_response()
    {
        return "HTTP/1.1 503 Service Unavailable\r\n" + wire_names{}.not_run +
               ": 1\r\nContent-Length: 0\r\n\r\n";
    }

    /// The same with the id of the request.
    static std::string not_run_response(const parsed_request& it)
    {
        const wire_names names;
        auto bytes = not_run_response();
        bytes.insert(bytes.find("\r\n") + 2,
                     names.attempt_id + ": " +
                         std::string(find_header(it.request.headers, names.attempt_id)) + "\r\n");
        return bytes;
    }

    static std::string header(const std::vector<http_header>& headers, const std::string& name)
    {
        return std::string(find_header(headers, name));
    }

public:
    // Path, body and end-to-end headers must be forwarded unchanged in both directions.
    void request_and_response_are_forwarded_unchanged()
    {
        request_path_fixture fixture;
        auto& backend = fixture.add_backend("b1", signed_response_script(fixture));
        fixture.configure();
        const auto answer = fixture.exchange(fixture.post("/write/a?x=1", "id-1", "body bytes"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200, answer->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), answer->response.body);
        CPPUNIT_ASSERT_EQUAL(std::string("s1"),
                             header(answer->response.headers, fixture.names().signature));
        const auto& seen = backend.requests().front();
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), seen.request.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/write/a?x=1"), seen.request.path);
        CPPUNIT_ASSERT_EQUAL(std::string("body bytes"), seen.request.body);
        CPPUNIT_ASSERT_EQUAL(std::string("b1"),
                             header(seen.request.headers, fixture.names().expected_backend));
    }

    // Unused bytes of the read buffer were once parsed as request data, so that every second
    // request on a connection was answered 400.
    void consecutive_requests_on_a_connection_are_parsed()
    {
        request_path_fixture fixture;
        fixture.add_backend("b1", signed_response_script(fixture, milliseconds(5)));
        fixture.configure();
        auto& caller = fixture.connect();
        for (std::size_t n = 1; n <= 5; ++n) {
            caller.send(fixture.get("/read/x", "id-" + std::to_string(n)));
            CPPUNIT_ASSERT(fixture.run_until([&] { return caller.responses().size() == n; }));
            CPPUNIT_ASSERT_EQUAL(200, caller.responses().back().response.status);
        }
    }

    // A backend server sends two responses to one request. The surplus response must not be
    // forwarded as the response to the next request on the connection.
    void surplus_response_is_discarded()
    {
        request_path_fixture fixture;
        fixture.add_backend("b1", [&fixture](const parsed_request& it) {
            return reaction{
                fixture.signed_response(it) + fixture.signed_response(it, "again"), {}, false};
        });
        fixture.configure();
        auto& caller = fixture.connect();
        for (std::size_t n = 1; n <= 4; ++n) {
            const auto id = "id-" + std::to_string(n);
            caller.send(fixture.get("/read/x", id));
            CPPUNIT_ASSERT(fixture.run_until([&] { return caller.responses().size() == n; }));
            CPPUNIT_ASSERT_EQUAL(
                id, header(caller.responses().back().response.headers, fixture.names().attempt_id));
            CPPUNIT_ASSERT(!caller.surplus());
        }
    }

    // A 2xx response without signature and attempt id may come from another server and must not be
    // forwarded.
    void unsigned_success_is_not_forwarded()
    {
        request_path_fixture fixture;
        fixture.add_backend("b1", [](const parsed_request&) {
            return reaction{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", {}, false};
        });
        fixture.configure();
        const auto answer = fixture.exchange(fixture.post("/write/x", "id-1"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(502, answer->response.status);
    }

    // A backend server closes the connection before the end of the body. The truncated response
    // must not be forwarded as a complete one.
    void truncated_response_is_not_forwarded()
    {
        request_path_fixture fixture;
        const auto truncated = [&fixture](const parsed_request& it) {
            auto bytes = fixture.signed_response(it, "a long body that is cut");
            return reaction{bytes.substr(0, bytes.size() - 5), {}, true};
        };
        fixture.add_backend("b1", truncated);
        fixture.add_backend("b2", truncated);
        fixture.configure();
        const auto answer = fixture.exchange(fixture.get("/read/x", "id-1"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(502, answer->response.status);
    }

    // A backend server closes the connection after receiving the request. A non-idempotent request
    // may have run and must not be resent.
    void non_idempotent_request_is_not_resent_if_it_may_have_run()
    {
        request_path_fixture fixture;
        const auto close_without_response = [](const parsed_request&) {
            return reaction{"", {}, true};
        };
        auto& first = fixture.add_backend("b1", close_without_response);
        auto& second = fixture.add_backend("b2", close_without_response);
        fixture.configure();
        const auto answer = fixture.exchange(fixture.post("/write/x", "id-1"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(502, answer->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.requests().size() + second.requests().size());
    }

    // A non-idempotent request that a backend server states not to have run must be resent to
    // another backend server instead of being refused.
    void non_idempotent_request_is_resent_if_it_has_not_run()
    {
        request_path_fixture fixture;
        int refused = 0;
        const auto script = [&](const parsed_request& it) {
            return ++refused == 1 ? reaction{not_run_response(it), {}, false}
                                  : reaction{fixture.signed_response(it), {}, false};
        };
        fixture.add_backend("b1", script);
        fixture.add_backend("b2", script);
        fixture.configure();
        for (int n = 0; n < 20; ++n) { // earns retry allowance
            refused = 1;
            fixture.exchange(fixture.get("/read/x", "warm-" + std::to_string(n)));
        }
        refused = 0;
        const auto answer = fixture.exchange(fixture.post("/write/x", "id-1"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200, answer->response.status);
        CPPUNIT_ASSERT_EQUAL(2, refused);
    }

    // A caller takes 503 as proof that its request has not run. A backend server's 503 without the
    // not-run header must not be forwarded for a non-idempotent request.
    void unavailable_without_not_run_header_is_not_forwarded()
    {
        request_path_fixture fixture;
        fixture.add_backend("b1", [](const parsed_request& it) {
            const wire_names names;
            return reaction{"HTTP/1.1 503 Service Unavailable\r\n" + names.attempt_id + ": " +
                                std::string(find_header(it.request.headers, names.attempt_id)) +
                                "\r\n" + names.signature + ": s\r\nContent-Length: 0\r\n\r\n",
                            {},
                            false};
        });
        fixture.configure();
        const auto answer = fixture.exchange(fixture.post("/write/x", "id-1"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(502, answer->response.status);
        CPPUNIT_ASSERT(header(answer->response.headers, fixture.names().signature).empty());
    }

    // Another server has taken over an address and answers 421 without running the request. The
    // request must be resent, and the address must receive fewer requests.
    void misdirected_request_is_resent()
    {
        request_path_fixture fixture;
        auto& wrong = fixture.add_backend("b1", [](const parsed_request&) {
            return reaction{
                "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", {}, false};
        });
        auto& right = fixture.add_backend("b2", signed_response_script(fixture));
        fixture.configure();
        int served = 0;
        for (int n = 0; n < 30; ++n) {
            const auto answer = fixture.exchange(fixture.get("/read/x", "id-" + std::to_string(n)));
            CPPUNIT_ASSERT(answer);
            served += answer->response.status == 200 ? 1 : 0;
            CPPUNIT_ASSERT(answer->response.status != 421);
        }
        CPPUNIT_ASSERT(served >= 25);
        CPPUNIT_ASSERT(wrong.requests().size() < right.requests().size());
    }

    // After its caller has disconnected, an idempotent request must not occupy a backend server.
    void caller_disconnect_aborts_idempotent_request()
    {
        request_path_fixture fixture;
        auto& backend =
            fixture.add_backend("b1", signed_response_script(fixture, milliseconds(600)));
        fixture.configure();
        auto& caller = fixture.connect();
        caller.send(fixture.get("/read/x", "id-1"));
        CPPUNIT_ASSERT(fixture.run_until([&] { return !backend.requests().empty(); }));
        caller.close();
        CPPUNIT_ASSERT(fixture.run_until([&] { return backend.closed() == 1; }, milliseconds(300)));
    }

    // Guards against requests that reach a server after their caller has left: the process had been
    // held up, or had just started, and found the request and the close of its connection together.
    void request_of_a_caller_that_has_left_is_not_started()
    {
        request_path_fixture fixture;
        auto& backend = fixture.add_backend("b1", signed_response_script(fixture));
        fixture.configure();
        // Leaves an idle connection to the server.
        CPPUNIT_ASSERT(fixture.exchange(fixture.get("/read/x", "id-0")));
        for (const auto& request :
             {fixture.get("/read/x", "id-1"), fixture.post("/write/x", "id-2")}) {
            asio::io_context caller_loop;
            tcp::socket caller(caller_loop);
            caller.connect(tcp_endpoint(fixture.address()));
            asio::write(caller, asio::buffer(request));
            caller.close();
            fixture.run_for(milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, backend.requests().size());
    }

    // A non-idempotent request cannot be repeated, so a disconnect of its caller must not abort it.
    void caller_disconnect_does_not_abort_non_idempotent_request()
    {
        request_path_fixture fixture;
        auto& backend =
            fixture.add_backend("b1", signed_response_script(fixture, milliseconds(200)));
        fixture.configure();
        auto& caller = fixture.connect();
        caller.send(fixture.post("/write/x", "id-1"));
        CPPUNIT_ASSERT(fixture.run_until([&] { return !backend.requests().empty(); }));
        caller.close();
        fixture.run_for(milliseconds(350));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, backend.closed());
    }

    // A leaving backend server must not receive new requests, not even on an idle connection.
    void leaving_backend_server_receives_no_new_requests()
    {
        request_path_fixture fixture;
        auto& first = fixture.add_backend("b1", signed_response_script(fixture));
        auto& second = fixture.add_backend("b2", signed_response_script(fixture));
        fixture.configure();
        for (int n = 0; n < 10; ++n) {
            fixture.exchange(fixture.get("/read/x", "id-" + std::to_string(n)));
        }
        fixture.update_record(first, [](backend_record& it) { it.leaving = true; });
        const auto before = first.requests().size();
        for (int n = 0; n < 10; ++n) {
            CPPUNIT_ASSERT(fixture.exchange(fixture.get("/read/x", "after-" + std::to_string(n))));
        }
        CPPUNIT_ASSERT_EQUAL(before, first.requests().size());
        fixture.servers().remove(backend_server_name("b2"));
        const auto answer = fixture.exchange(fixture.get("/read/x", "last"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(503, answer->response.status);
        CPPUNIT_ASSERT(!second.requests().empty());
    }

    // The backend servers of an evacuated failure domain must not receive requests, and must count
    // as cold when the evacuation ends.
    void evacuated_domain_receives_no_requests()
    {
        request_path_fixture fixture;
        auto& first = fixture.add_backend("b1", signed_response_script(fixture), "desk", "west-a");
        fixture.add_backend("b2", signed_response_script(fixture), "desk", "west-b");
        fixture.configure();
        fixture.servers().set_evacuated(failure_domain_name("west-a"), true);
        for (int n = 0; n < 10; ++n) {
            CPPUNIT_ASSERT(fixture.exchange(fixture.get("/read/x", "id-" + std::to_string(n))));
        }
        CPPUNIT_ASSERT(first.requests().empty());
        fixture.servers().set_evacuated(failure_domain_name("west-a"), false);
        CPPUNIT_ASSERT(fixture.servers().cold(*fixture.servers().find(
            fixture.servers().of(service_name("desk")).front()->record.name ==
                    backend_server_name("b1")
                ? fixture.servers().of(service_name("desk")).front()->id
                : fixture.servers().of(service_name("desk")).back()->id)));
    }

    // A daemon that the store refuses to serve misses an evacuation order. Such daemons sent 31
    // requests in one second to a cold server of a domain whose evacuation all other daemons knew.
    void evacuation_reported_by_other_daemons_applies()
    {
        request_path_fixture fixture;
        auto& first = fixture.add_backend("b1", signed_response_script(fixture), "desk", "west-a");
        fixture.add_backend("b2", signed_response_script(fixture), "desk", "west-b");
        fixture.configure();
        fixture.servers().set_evacuated(failure_domain_name("west-a"), true);
        const auto reported = fixture.servers().operator_evacuated_ids();
        fixture.servers().set_evacuated(failure_domain_name("west-a"), false);
        fixture.update_record(
            first, [](backend_record& it) { it.started_ms = 2; }); // restart ends the cold period
        fixture.servers().set_reported_evacuations(reported);
        for (int n = 0; n < 20; ++n) {
            CPPUNIT_ASSERT(fixture.exchange(fixture.get("/read/x", "id-" + std::to_string(n))));
        }
        CPPUNIT_ASSERT(first.requests().empty());
        fixture.servers().set_reported_evacuations({});
        for (const auto& it : fixture.servers().of(service_name("desk"))) {
            CPPUNIT_ASSERT_EQUAL(it->record.name == backend_server_name("b1"),
                                 fixture.servers().cold(*it));
        }
    }

    // A cold backend server fails above rate x factor + slack requests in one second.
    void cold_backend_server_stays_within_its_rate_limit()
    {
        request_path_fixture fixture;
        auto& cold = fixture.add_backend("b1", signed_response_script(fixture));
        fixture.configure();
        fixture.update_record(cold,
                              [](backend_record& it) { it.cold_remaining = milliseconds(3000); });
        std::vector<scripted_caller*> callers;
        for (int n = 0; n < 60; ++n) {
            callers.push_back(&fixture.connect());
            callers.back()->send(fixture.get("/read/x", "id-" + std::to_string(n)));
        }
        fixture.run_for(milliseconds(900));
        CPPUNIT_ASSERT(!cold.requests().empty());
        CPPUNIT_ASSERT(cold.requests().size() <= 20); // 10 x 1.5 + 5
    }

    // Guards against connections that count as open for ever: those of requests during which the
    // record of their server was replaced by one of another run.
    void connection_of_an_earlier_run_is_not_kept()
    {
        request_path_fixture fixture;
        auto& backend = fixture.add_backend("b1", [&](const parsed_request& it) {
            return reaction{fixture.signed_response(it), milliseconds(100), false};
        });
        fixture.configure();
        auto& caller = fixture.connect();
        caller.send(fixture.get("/read/x", "id-1"));
        CPPUNIT_ASSERT(fixture.run_until([&] { return !backend.requests().empty(); }));
        fixture.update_record(backend, [](backend_record& it) { it.started_ms = 2; });
        CPPUNIT_ASSERT(fixture.run_until([&] { return !caller.responses().empty(); }));
        CPPUNIT_ASSERT_EQUAL(200, caller.responses().front().response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.servers().open_connections());
        CPPUNIT_ASSERT(fixture.run_until([&] { return backend.closed() == 1; }));
    }

    // Requests of a route with `allowed_regions` must not run in another region, even if no other
    // backend server is available.
    void requests_stay_within_allowed_regions()
    {
        request_path_fixture fixture;
        auto& far = fixture.add_backend("b1", signed_response_script(fixture), "desk", "east-a");
        fixture.configure([](std::vector<route>& all) {
            for (auto& it : all) {
                it.allowed_regions = {region_name("west")};
            }
        });
        const auto refused = fixture.exchange(fixture.get("/read/x", "id-1"));
        CPPUNIT_ASSERT(refused);
        CPPUNIT_ASSERT_EQUAL(503, refused->response.status);
        CPPUNIT_ASSERT(far.requests().empty());
    }

    // A caller must receive a response by the timeout of its route, even if the backend server is
    // slower.
    void route_timeout_limits_the_response_time()
    {
        request_path_fixture fixture;
        fixture.add_backend("b1", signed_response_script(fixture, milliseconds(2500)));
        fixture.configure();
        const system_clock time;
        const auto began = time.now();
        const auto answer = fixture.exchange(fixture.post("/write/x", "id-1"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(504, answer->response.status);
        CPPUNIT_ASSERT(time.now() - began < milliseconds(1400));
    }

    // Backend servers must receive the remaining time, or they work longer than the caller waits. A
    // malformed or excessive value of the caller must not exceed the route's timeout.
    void backend_server_receives_the_remaining_time()
    {
        request_path_fixture fixture;
        auto& backend = fixture.add_backend("b1", signed_response_script(fixture));
        fixture.configure();
        const auto& name = fixture.names().time_left_ms;
        fixture.exchange(fixture.get("/read/x", "id-1", name + ": 700\r\n"));
        fixture.exchange(fixture.get("/read/x", "id-2", name + ": 99999999999999999999\r\n"));
        fixture.exchange(fixture.get("/read/x", "id-3", name + ": soon\r\n"));
        const auto time_left = [&](std::size_t n) {
            return std::stol(header(backend.requests()[n].request.headers, name));
        };
        CPPUNIT_ASSERT(time_left(0) <= 700);
        CPPUNIT_ASSERT(time_left(0) > 500);
        CPPUNIT_ASSERT(time_left(1) <= 1000);
        CPPUNIT_ASSERT(time_left(2) <= 1000);
    }

    // A daemon without a configuration must answer 503 with Retry-After. A 404 would tell callers
    // of valid routes not to retry.
    void missing_configuration_and_unknown_route_are_distinguished()
    {
        request_path_fixture fixture;
        auto answer = fixture.exchange(fixture.get("/read/x", "id-1"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(503, answer->response.status);
        CPPUNIT_ASSERT(!header(answer->response.headers, "Retry-After").empty());
        fixture.configure();
        answer = fixture.exchange(fixture.get("/other/x", "id-2"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(404, answer->response.status);
    }

    // An older configuration that arrives late must not replace a newer one.
    void older_configuration_is_ignored()
    {
        request_path_fixture fixture;
        fixture.configure();
        fixture.configure();
        const auto newest = fixture.dispatch().config();
        fixture.dispatch().set_config(std::make_shared<routing_config>(1, config_entries{}));
        CPPUNIT_ASSERT(fixture.dispatch().config() == newest);
    }

    // Without any backend server, a request must be refused at once instead of waiting in the
    // queue.
    void request_without_backend_server_is_refused_at_once()
    {
        request_path_fixture fixture;
        fixture.configure();
        const auto answer = fixture.exchange(fixture.get("/read/x", "id-1"), milliseconds(200));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(503, answer->response.status);
        CPPUNIT_ASSERT(!header(answer->response.headers, "Retry-After").empty());
    }

    // On a graceful stop, a request in progress must be answered completely and its connection
    // marked for closing. Idle connections must be closed.
    void graceful_stop_completes_requests_in_progress()
    {
        request_path_fixture fixture;
        auto& backend =
            fixture.add_backend("b1", signed_response_script(fixture, milliseconds(200)));
        fixture.configure();
        auto& caller = fixture.connect();
        auto& idle = fixture.connect();
        caller.send(fixture.get("/read/x", "id-1"));
        CPPUNIT_ASSERT(fixture.run_until([&] { return !backend.requests().empty(); }));
        fixture.callers().close_after_responses();
        fixture.callers().stop_accepting();
        CPPUNIT_ASSERT(fixture.run_until([&] {
            fixture.callers().close_idle_connections();
            return caller.ended() && idle.ended();
        }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, caller.responses().size());
        CPPUNIT_ASSERT_EQUAL(200, caller.responses().front().response.status);
        CPPUNIT_ASSERT(!caller.responses().front().keep_alive);
        CPPUNIT_ASSERT(!caller.reset());
    }

    // A request that arrives shortly before the process ends must be refused, or it is aborted.
    // One that arrived 3.0 s after the stop signal was still in progress at the forced end.
    void stopping_daemon_refuses_requests_it_cannot_complete()
    {
        request_path_fixture fixture;
        auto& backend =
            fixture.add_backend("b1", signed_response_script(fixture, milliseconds(150)));
        fixture.configure();
        for (int n = 0; n < 20; ++n) {
            fixture.exchange(fixture.get("/read/x", "warm-" + std::to_string(n)));
        }
        const auto before = backend.requests().size();
        const system_clock time;
        fixture.dispatch().set_stop_schedule(
            {time.now() + milliseconds(60), time.now() + milliseconds(60)});
        const auto refused = fixture.exchange(fixture.get("/read/x", "id-1"), milliseconds(100));
        CPPUNIT_ASSERT(refused);
        CPPUNIT_ASSERT_EQUAL(503, refused->response.status);
        CPPUNIT_ASSERT_EQUAL(before, backend.requests().size());
        fixture.dispatch().set_stop_schedule(
            {time.now() + milliseconds(5000), time.now() + milliseconds(5000)});
        const auto served = fixture.exchange(fixture.get("/read/x", "id-2"));
        CPPUNIT_ASSERT(served);
        CPPUNIT_ASSERT_EQUAL(200, served->response.status);
    }

    // One backend server never answers. An idempotent request must be hedged to another backend
    // server instead of waiting until its deadline.
    void idempotent_request_is_hedged_if_a_backend_server_is_silent()
    {
        request_path_fixture fixture;
        bool silent = false;
        const auto script = [&](const parsed_request& it) {
            if (silent) {
                silent = false;
                return reaction{"", {}, false};
            }
            return reaction{fixture.signed_response(it), {}, false};
        };
        fixture.add_backend("b1", script);
        fixture.add_backend("b2", script);
        fixture.configure();
        for (int n = 0; n < 20; ++n) {
            fixture.exchange(fixture.get("/read/x", "warm-" + std::to_string(n)));
        }
        silent = true;
        const auto answer = fixture.exchange(fixture.get("/read/x", "id-1"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200, answer->response.status);
    }

    // A request to a distant server must not wait for a new connection, which takes a whole round
    // trip, although the server was used a moment ago. Servers nearby need no spare connection, and
    // none is kept to a server that leaves.
    void connection_to_a_distant_server_is_opened_ahead()
    {
        request_path_fixture fixture;
        auto& distant =
            fixture.add_backend("b1", signed_response_script(fixture, milliseconds(50)));
        fixture.configure();
        const auto server = fixture.servers().of(service_name("desk")).front();
        CPPUNIT_ASSERT(fixture.exchange(fixture.get("/read/x", "id-1")));
        fixture.run_for(milliseconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, distant.connections());
        server->round_trip = milliseconds(110);
        auto& caller = fixture.connect();
        caller.send(fixture.get("/read/x", "id-2"));
        CPPUNIT_ASSERT(fixture.run_until([&] { return distant.connections() == 2; }));
        CPPUNIT_ASSERT(fixture.run_until([&] { return caller.responses().size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server->idle.size());
        // Two requests at once find an open connection each.
        auto& first = fixture.connect();
        auto& second = fixture.connect();
        first.send(fixture.get("/read/x", "id-3"));
        second.send(fixture.get("/read/x", "id-4"));
        CPPUNIT_ASSERT(fixture.run_until(
            [&] { return first.responses().size() + second.responses().size() == 2; }));
        CPPUNIT_ASSERT(distant.connections() <= 3);
        fixture.update_record(distant, [](backend_record& it) { it.leaving = true; });
        fixture.run_for(milliseconds(30));
        CPPUNIT_ASSERT(server->idle.empty());
        CPPUNIT_ASSERT(!server->opening);
        CPPUNIT_ASSERT_EQUAL(0U, server->connections);
    }

    // A server whose row is missing after an outage of the store has probably left. It received
    // requests for another two seconds, 4.17 s after it had said so, where 4 s are allowed. If all
    // rows are missing, the servers are still there.
    void server_without_row_is_used_only_if_no_other_is_left()
    {
        request_path_fixture fixture;
        auto& first = fixture.add_backend("b1", signed_response_script(fixture));
        auto& second = fixture.add_backend("b2", signed_response_script(fixture));
        fixture.configure();
        fixture.servers().set_lapsed(backend_server_name("b1"));
        for (int n = 0; n < 20; ++n) {
            const auto answer = fixture.exchange(fixture.get("/read/x", "id-" + std::to_string(n)));
            CPPUNIT_ASSERT(answer && answer->response.status == 200);
        }
        CPPUNIT_ASSERT(first.requests().empty());
        fixture.servers().set_lapsed(backend_server_name("b2"));
        for (int n = 0; n < 20; ++n) {
            const auto answer =
                fixture.exchange(fixture.get("/read/x", "more-" + std::to_string(n)));
            CPPUNIT_ASSERT(answer && answer->response.status == 200);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, first.requests().size() + second.requests().size());
        fixture.update_record(first, [](backend_record& it) { it.slots = 5; });
        CPPUNIT_ASSERT(!fixture.servers().of(service_name("desk")).front()->lapsed ||
                       !fixture.servers().of(service_name("desk")).back()->lapsed);
    }

    // Guards against a server that gets far more requests than the rate that it has announced.
    void announced_rate_limit_is_kept_as_long_as_it_is_announced()
    {
        request_path_fixture fixture;
        bool limited = true;
        auto& in_need = fixture.add_backend("b1", [&](const parsed_request& it) {
            auto bytes = fixture.signed_response(it);
            if (limited) {
                bytes.insert(bytes.find("\r\n") + 2, wire_names{}.rate_limit + ": 1.5\r\n");
            }
            return reaction{bytes, milliseconds(0), false};
        });
        auto& other = fixture.add_backend("b2", signed_response_script(fixture));
        fixture.configure();
        send_reads(fixture, 0, 80);
        // Half as much again as 1.5 requests a second in 4 s, and five requests.
        CPPUNIT_ASSERT(!in_need.requests().empty());
        CPPUNIT_ASSERT(in_need.requests().size() <= 14);
        CPPUNIT_ASSERT_EQUAL(std::size_t{80}, in_need.requests().size() + other.requests().size());
        limited = false;
        // The limit may be used up by now. It then allows the next request, whose response shows
        // its end, only when its window has passed.
        const bool ended =
            fixture.run_until([&] { return !send_read_and_check_limit(fixture, "b1"); },
                              policy::rate_limit_share::window + milliseconds(3000));
        CPPUNIT_ASSERT(ended);
        const auto before = in_need.requests().size();
        send_reads(fixture, 200, 40);
        CPPUNIT_ASSERT(in_need.requests().size() >= before + 8);
    }

    // Guards against a rate limit that is forgotten because the server in need also refuses
    // requests, or because its address belongs to another server now.
    void refusal_does_not_end_a_rate_limit()
    {
        request_path_fixture fixture;
        std::string refusal;
        auto& backend = fixture.add_backend("b1", [&](const parsed_request& it) {
            auto bytes = fixture.signed_response(it);
            bytes.insert(bytes.find("\r\n") + 2, wire_names{}.rate_limit + ": 40\r\n");
            return reaction{refusal.empty() ? bytes : refusal, milliseconds(0), false};
        });
        fixture.configure();
        const auto limit = [&] {
            return fixture.servers().find(short_hash("b1"))->rate.limit();
        };
        CPPUNIT_ASSERT(fixture.exchange(fixture.post("/write/x", "id-1")));
        CPPUNIT_ASSERT_EQUAL(40.0, *limit());
        for (const auto& it :
             {not_run_response(),
              std::string("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")}) {
            refusal = it;
            const auto before = backend.requests().size();
            CPPUNIT_ASSERT(fixture.exchange(fixture.post("/write/x", "id-2")));
            CPPUNIT_ASSERT(backend.requests().size() > before);
            CPPUNIT_ASSERT_EQUAL(40.0, limit().value_or(0));
        }
    }

private:
    /// Sends requests for different objects, one after the other, within 4 s.
    static void send_reads(request_path_fixture& fixture, int first, int count)
    {
        for (int n = first; n < first + count; ++n) {
            const auto object = fmt::format("Cookie: Toucan-Object={}\r\n", n);
            const auto answer =
                fixture.exchange(fixture.get("/read/x", fmt::format("id-{}", n), object));
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(200, answer->response.status);
            fixture.run_for(milliseconds(20));
        }
    }
    /// Sends a request, and returns whether a server still has a rate limit.
    bool send_read_and_check_limit(request_path_fixture& fixture, const std::string& server)
    {
        send_reads(fixture, next_object_++, 1);
        return fixture.servers().find(short_hash(server))->rate.limit().has_value();
    }

    int next_object_ = 100;
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_path_test);

} // namespace toucan::edge
