#include "request_path_fixture.h"
#include "server_notice.h"

#include "toucan/base/stable_hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace toucan::edge {

/// What backend servers say of themselves in responses: that they leave, and that they want a
/// pause. The rate limit has its tests in request_path_test.
class server_notice_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_notice_test);
    CPPUNIT_TEST(headers_are_read_or_count_as_absent);
    CPPUNIT_TEST(leaving_server_gets_no_more_requests);
    CPPUNIT_TEST(leaving_ends_with_the_run_of_the_server);
    CPPUNIT_TEST(server_that_wants_a_pause_gets_no_requests);
    CPPUNIT_TEST(request_that_cannot_wait_for_the_end_of_a_pause_is_refused_at_once);
    CPPUNIT_TEST(request_that_can_wait_runs_after_the_pause);
    CPPUNIT_TEST(requests_return_gradually_after_a_pause);
    CPPUNIT_TEST(notice_of_another_server_at_the_address_does_not_count);
    CPPUNIT_TEST(ended_rate_limit_does_not_come_back_with_a_report);
    CPPUNIT_TEST(reported_rate_limit_ends_without_further_reports);
    CPPUNIT_TEST(load_is_read_or_counts_as_absent);
    CPPUNIT_TEST(server_that_states_a_full_load_gets_no_more_requests);
    CPPUNIT_TEST(unreadable_load_is_counted_and_changes_nothing);
    CPPUNIT_TEST(refusal_of_a_full_server_is_not_a_fault);
    CPPUNIT_TEST(refused_request_goes_to_a_server_that_is_fast_now);
    CPPUNIT_TEST(slow_server_keeps_only_requests_that_it_serves_in_time);
    CPPUNIT_TEST_SUITE_END();

    using reaction = scripted_backend::reaction;

    static std::string with_header(std::string bytes, const std::string& line)
    {
        return bytes.insert(bytes.find("\r\n") + 2, line + "\r\n");
    }

    static std::string refusal(const parsed_request& it, const std::string& line)
    {
        const wire_names names;
        const auto id = std::string(find_header(it.request.headers, names.attempt_id));
        return with_header("HTTP/1.1 503 Service Unavailable\r\n" + names.not_run + ": 1\r\n" +
                               names.attempt_id + ": " + id + "\r\nContent-Length: 0\r\n\r\n",
                           line);
    }

    static void send_reads(request_path_fixture& fixture, int first, int count)
    {
        for (int n = first; n < first + count; ++n) {
            // Another object each time, so that all servers are in use.
            fixture.exchange(fixture.get("/read/x", "id-" + std::to_string(n),
                                         "Cookie: " + wire_names{}.object_cookie + "=" +
                                             std::to_string(n) + "\r\n"));
        }
    }

    static fleet::server server(request_path_fixture& fixture, const std::string& name)
    {
        return fixture.servers().find(short_hash(name));
    }

public:
    // Guards against a header that is taken for something else: it must count as absent.
    void headers_are_read_or_count_as_absent()
    {
        const wire_names names;
        const auto read = [&](int status, std::vector<http_header> headers) {
            return read_notice({status, std::move(headers), {}}, names);
        };
        const auto all =
            read(503, {{names.leaving, "1"}, {"retry-after", "1.5"}, {names.rate_limit, "2.5"}});
        CPPUNIT_ASSERT(all.leaving && all.unreadable.empty());
        CPPUNIT_ASSERT(all.back_off == milliseconds(1500));
        CPPUNIT_ASSERT(all.rate_limit == 2.5);
        CPPUNIT_ASSERT(!read(200, {{names.back_off, "1"}}).back_off);
        CPPUNIT_ASSERT(read(200, {{names.leaving, "0"}}) == server_notice{});
        for (const auto* value : {"", "-1", "nan", "inf", "1e30", "yes", "1 2", "1,1", "0x1"}) {
            for (const auto& name : {names.leaving, names.back_off, names.rate_limit}) {
                server_notice expected;
                expected.unreadable = {name};
                CPPUNIT_ASSERT_MESSAGE(name + ": " + value, read(503, {{name, value}}) == expected);
                CPPUNIT_ASSERT(read(503, {{name, "1"}, {name, "1"}}) == expected);
            }
        }
    }

    // Guards against a load that is taken from a header of another form.
    void load_is_read_or_counts_as_absent()
    {
        const wire_names names;
        const auto read = [&](std::vector<http_header> headers) {
            return read_notice({200, std::move(headers), {}}, names);
        };
        CPPUNIT_ASSERT(read({}) == server_notice{});
        CPPUNIT_ASSERT((read({{names.load, "5,2,6"}}).load == policy::reported_load{5, 2, 6, 1}));
        CPPUNIT_ASSERT(
            (read({{names.load, " 5, 2,6 ,250"}}).load == policy::reported_load{5, 2, 6, 2.5}));
        server_notice expected;
        expected.unreadable = {names.load};
        for (const auto* value : {"",
                                  "5",
                                  "5,2",
                                  "5,2,",
                                  ",,",
                                  "5,2,6,",
                                  "5,2,6,100,1",
                                  "-1,0,6",
                                  "1,-1,6",
                                  "1,0,-6",
                                  "1,0,0",
                                  "1,0,6,0",
                                  "1,0,6,-100",
                                  "1,0,6,1e2",
                                  "1.5,0,6",
                                  "a,b,c",
                                  "nan,0,6",
                                  "1000001,0,6",
                                  "99999999999999999999,0,6",
                                  "1,0,6,100001",
                                  "0x1,0,6",
                                  "1;0;6"}) {
            CPPUNIT_ASSERT_MESSAGE(value, read({{names.load, value}}) == expected);
        }
        CPPUNIT_ASSERT(read({{names.load, "1,0,6"}, {names.load, "1,0,6"}}) == expected);
    }

    // Guards against requests to a server that says in a response that other daemons have filled
    // it, before the next report tells so, and against a header that callers get.
    void server_that_states_a_full_load_gets_no_more_requests()
    {
        request_path_fixture fixture;
        std::string first;
        const auto script = [&](const std::string& name) {
            return [&, name](const parsed_request& it) {
                first = first.empty() ? name : first;
                const std::string load = name == first ? "40,0,4" : "1,0,4";
                return reaction{
                    with_header(fixture.signed_response(it), wire_names{}.load + ": " + load),
                    {},
                    false};
            };
        };
        auto& b1 = fixture.add_backend("b1", script("b1"));
        auto& b2 = fixture.add_backend("b2", script("b2"));
        fixture.configure();
        for (int n = 0; n < 4; ++n) {
            const auto answer = fixture.exchange(
                fixture.get("/read/x", "id-" + std::to_string(n),
                            "Cookie: " + wire_names{}.object_cookie + "=same\r\n"));
            CPPUNIT_ASSERT(answer && answer->response.status == 200);
            CPPUNIT_ASSERT(find_header(answer->response.headers, wire_names{}.load).empty());
        }
        auto& full = first == "b1" ? b1 : b2;
        auto& other = first == "b1" ? b2 : b1;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, full.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, other.requests().size());
        // The figure is no longer used when it is old.
        fixture.run_for(milliseconds(1100));
        fixture.exchange(fixture.get("/read/x", "id-last",
                                     "Cookie: " + wire_names{}.object_cookie + "=same\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, full.requests().size());
    }

    // Guards against a malformed figure that changes the choice or is not noticed.
    void unreadable_load_is_counted_and_changes_nothing()
    {
        request_path_fixture fixture;
        auto& backend = fixture.add_backend("b1", [&](const parsed_request& it) {
            return reaction{
                with_header(fixture.signed_response(it), wire_names{}.load + ": 40,0,4,fast"),
                {},
                false};
        });
        fixture.configure();
        send_reads(fixture, 0, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, backend.requests().size());
        CPPUNIT_ASSERT_EQUAL(0.0, fixture.servers().load(*server(fixture, "b1")));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{3},
            fixture.all_metrics().count("toucan_edge_load_header_unreadable_total").load());
    }

    // Guards against a server that counts as faulty, and loses its objects, because other daemons
    // have filled it: its refusal states that it is full.
    void refusal_of_a_full_server_is_not_a_fault()
    {
        request_path_fixture fixture;
        for (const auto* name : {"b1", "b2"}) {
            fixture.add_backend(name, [](const parsed_request& it) {
                return reaction{refusal(it, wire_names{}.load + ": 4,3,4"), {}, false};
            });
        }
        fixture.configure();
        const auto answer = fixture.exchange(fixture.get("/read/x", "id-1"));
        CPPUNIT_ASSERT(answer && answer->response.status == 503);
        for (const auto* name : {"b1", "b2"}) {
            CPPUNIT_ASSERT_EQUAL(0.0, server(fixture, name)->health.failure_share());
        }
    }

    // Guards against a second attempt on a server that is slow at the moment.
    void refused_request_goes_to_a_server_that_is_fast_now()
    {
        request_path_fixture fixture;
        std::vector<std::string> order;
        bool refuse = true;
        for (const auto* name : {"b1", "b2", "b3"}) {
            fixture.add_backend(name, [&, name](const parsed_request& it) {
                order.emplace_back(name);
                const bool refused = std::exchange(refuse, false);
                return reaction{
                    refused ? refusal(it, "X-Any: 1") : fixture.signed_response(it), {}, false};
            });
        }
        fixture.configure();
        const auto cookie = "Cookie: " + wire_names{}.object_cookie + "=same\r\n";
        CPPUNIT_ASSERT(fixture.exchange(fixture.get("/read/x", "id-1", cookie)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, order.size());
        const auto second = server(fixture, order[1]);
        fixture.servers().record_load(second, {0, 0, 4, 2.5}, steady_time(), true);
        refuse = true;
        CPPUNIT_ASSERT(fixture.exchange(fixture.get("/read/x", "id-2", cookie)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, order.size());
        CPPUNIT_ASSERT_EQUAL(order[0], order[2]);
        CPPUNIT_ASSERT(order[3] != order[0] && order[3] != order[1]);
    }

    // Guards against requests that become late on a slow server although the next one has room, and
    // against objects that leave it although it serves them in time.
    void slow_server_keeps_only_requests_that_it_serves_in_time()
    {
        request_path_fixture fixture;
        std::vector<std::string> order;
        for (const auto* name : {"b1", "b2"}) {
            fixture.add_backend(name, [&, name](const parsed_request& it) {
                order.emplace_back(name);
                return reaction{fixture.signed_response(it), milliseconds(50), false};
            });
        }
        // The mean service time begins at half of the objective.
        fixture.configure([](std::vector<route>& routes) {
            for (auto& it : routes) {
                it.objective = milliseconds(2000);
            }
        });
        const auto send = [&](const std::string& id) {
            fixture.exchange(
                fixture.get("/read/x", id, "Cookie: " + wire_names{}.object_cookie + "=same\r\n"));
        };
        send("id-1");
        const auto first = server(fixture, order[0]);
        const auto state_slowness = [&](double slowness) {
            // Two of its four slots are in use, which is more work than a slow server has room for.
            fixture.servers().record_load(first, {2, 0, 4, slowness}, steady_time(), true);
        };
        state_slowness(1.2);
        send("id-2");
        CPPUNIT_ASSERT_EQUAL(order[0], order[1]);
        state_slowness(30);
        send("id-3");
        CPPUNIT_ASSERT(order[2] != order[0]);
    }

    // Guards against requests to a server that says in its responses that it leaves, while its row
    // in the store is still ready.
    void leaving_server_gets_no_more_requests()
    {
        request_path_fixture fixture;
        auto& leaving = fixture.add_backend("b1", [&](const parsed_request& it) {
            return reaction{
                with_header(fixture.signed_response(it), wire_names{}.leaving + ": 1"), {}, false};
        });
        auto& other = fixture.add_backend("b2", [&](const parsed_request& it) {
            return reaction{fixture.signed_response(it), {}, false};
        });
        fixture.configure();
        send_reads(fixture, 0, 40);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaving.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{39}, other.requests().size());
        // A row that is written meanwhile does not end it.
        fixture.update_record(leaving, [](backend_record& it) { it.slots = 5; });
        send_reads(fixture, 40, 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaving.requests().size());
        // When all leave, a request is refused at once.
        server(fixture, "b2")->announced_leaving = true;
        const auto answer = fixture.exchange(fixture.get("/read/x", "last"), milliseconds(200));
        CPPUNIT_ASSERT(answer && answer->response.status == 503);
    }

    // Guards against a server that stays out of use although it has started again.
    void leaving_ends_with_the_run_of_the_server()
    {
        request_path_fixture fixture;
        auto& backend = fixture.add_backend("b1", [&](const parsed_request& it) {
            return reaction{fixture.signed_response(it), {}, false};
        });
        fixture.configure();
        server(fixture, "b1")->announced_leaving = true;
        fixture.update_record(backend, [](backend_record& it) { ++it.started_ms; });
        const auto answer = fixture.exchange(fixture.get("/read/x", "id-1"));
        CPPUNIT_ASSERT(answer && answer->response.status == 200);
    }

    // Guards against requests to a server that has asked for a pause, and against a server that
    // gets none after it.
    void server_that_wants_a_pause_gets_no_requests()
    {
        request_path_fixture fixture;
        bool busy = true;
        auto& in_need = fixture.add_backend("b1", [&](const parsed_request& it) {
            return reaction{
                busy ? refusal(it, "Retry-After: 0.8") : fixture.signed_response(it), {}, false};
        });
        auto& other = fixture.add_backend("b2", [&](const parsed_request& it) {
            return reaction{fixture.signed_response(it), {}, false};
        });
        fixture.configure();
        send_reads(fixture, 0, 20);
        CPPUNIT_ASSERT(fixture.run_until([&] { return !in_need.requests().empty(); }));
        const auto before = in_need.requests().size();
        busy = false;
        CPPUNIT_ASSERT(fixture.servers().back_off_left(*server(fixture, "b1")) > milliseconds(400));
        send_reads(fixture, 20, 30);
        CPPUNIT_ASSERT_EQUAL(before, in_need.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{50}, other.requests().size());
        fixture.run_for(milliseconds(900));
        CPPUNIT_ASSERT(fixture.servers().end_back_offs());
        send_reads(fixture, 50, 30);
        CPPUNIT_ASSERT(in_need.requests().size() > before);
    }

    // Guards against requests that are held until their deadline although no server will take them
    // before it.
    void request_that_cannot_wait_for_the_end_of_a_pause_is_refused_at_once()
    {
        request_path_fixture fixture;
        auto& backend = fixture.add_backend("b1", [&](const parsed_request& it) {
            return reaction{refusal(it, "Retry-After: 30"), {}, false};
        });
        fixture.configure();
        for (int n = 0; n < 5; ++n) {
            const auto answer = fixture.exchange(
                fixture.post("/write/x", "id-" + std::to_string(n)), milliseconds(300));
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(503, answer->response.status);
            const double retry_after =
                std::stod(std::string(find_header(answer->response.headers, "Retry-After")));
            CPPUNIT_ASSERT(retry_after > 25 && retry_after <= 30);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, backend.requests().size());
    }

    // Guards against a refusal of a request that could have waited.
    void request_that_can_wait_runs_after_the_pause()
    {
        request_path_fixture fixture;
        auto& backend = fixture.add_backend("b1", [&](const parsed_request& it) {
            return reaction{fixture.signed_response(it), {}, false};
        });
        fixture.configure([](std::vector<route>& routes) {
            for (auto& it : routes) {
                it.timeout = milliseconds(3000);
            }
        });
        server_notice pause;
        pause.back_off = milliseconds(400);
        fixture.servers().record_notice(server(fixture, "b1"), pause, "id-0");
        auto& caller = fixture.connect();
        caller.send(fixture.get("/read/x", "id-1"));
        fixture.run_for(milliseconds(300));
        CPPUNIT_ASSERT(backend.requests().empty());
        CPPUNIT_ASSERT(fixture.run_until([&] {
            fixture.dispatch().schedule_dispatch();
            return !caller.responses().empty();
        }));
        CPPUNIT_ASSERT_EQUAL(200, caller.responses().front().response.status);
    }

    // Guards against all waiting requests at a server in the moment in which its pause ends.
    void requests_return_gradually_after_a_pause()
    {
        request_path_fixture fixture;
        auto& backend = fixture.add_backend("b1", [&](const parsed_request& it) {
            return reaction{fixture.signed_response(it), milliseconds(300), false};
        });
        fixture.update_record(backend, [](backend_record& it) { it.slots = 20; });
        fixture.configure([](std::vector<route>& routes) {
            for (auto& it : routes) {
                it.timeout = milliseconds(8000);
            }
        });
        server_notice pause;
        pause.back_off = milliseconds(100);
        fixture.servers().record_notice(server(fixture, "b1"), pause, "id-0");
        for (int n = 0; n < 20; ++n) {
            fixture.connect().send(fixture.get("/read/x", "id-" + std::to_string(n)));
        }
        const auto dispatch_for = [&](milliseconds span) {
            for (milliseconds it{0}; it < span; it += milliseconds(10)) {
                fixture.servers().set_peer_loads({}, steady_time());
                fixture.dispatch().schedule_dispatch();
                fixture.run_for(milliseconds(10));
            }
        };
        dispatch_for(milliseconds(200));
        CPPUNIT_ASSERT(!backend.requests().empty());
        CPPUNIT_ASSERT(backend.requests().size() <= 10);
        dispatch_for(milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, backend.requests().size());
    }

    // Guards against a server that is taken for leaving because another one has its address.
    void notice_of_another_server_at_the_address_does_not_count()
    {
        request_path_fixture fixture;
        fixture.add_backend("b1", [&](const parsed_request&) {
            return reaction{"HTTP/1.1 421 Misdirected Request\r\n" + wire_names{}.leaving +
                                ": 1\r\nContent-Length: 0\r\n\r\n",
                            {},
                            false};
        });
        fixture.configure();
        fixture.exchange(fixture.get("/read/x", "id-1"));
        CPPUNIT_ASSERT(!server(fixture, "b1")->leaving());
    }

    // Guards against a rate limit that has ended and comes back: every daemon passes on the age of
    // the limits that it knows, without the time that the report takes.
    void ended_rate_limit_does_not_come_back_with_a_report()
    {
        request_path_fixture fixture;
        fixture.add_backend("b1", [&](const parsed_request& it) {
            return reaction{fixture.signed_response(it), {}, false};
        });
        const auto b1 = server(fixture, "b1");
        fixture.servers().record_rate_limit(b1, 5);
        const auto reports = fixture.servers().rate_limits();
        fixture.run_for(milliseconds(30));
        fixture.servers().record_rate_limit(b1, std::nullopt);
        // The report was sent before the limit ended, and arrives after it.
        fixture.run_for(milliseconds(30));
        for (const auto& it : reports) {
            fixture.servers().apply_reported_rate_limit(it);
        }
        CPPUNIT_ASSERT(!b1->rate.limit());
    }

    // Guards against a limit that stays at daemons that do not use the server, since only a
    // response shows its end.
    void reported_rate_limit_ends_without_further_reports()
    {
        request_path_fixture fixture;
        fixture.add_backend("b1", [&](const parsed_request& it) {
            return reaction{fixture.signed_response(it), {}, false};
        });
        const auto b1 = server(fixture, "b1");
        fixture.servers().apply_reported_rate_limit({b1->id, 5, milliseconds(0)});
        CPPUNIT_ASSERT(b1->rate.limit());
        b1->rate_limit_known_at -= std::chrono::seconds(30);
        fixture.servers().end_old_rate_limits();
        CPPUNIT_ASSERT(!b1->rate.limit());
        // A report of the same age does not bring it back.
        fixture.servers().apply_reported_rate_limit({b1->id, 5, std::chrono::seconds(30)});
        CPPUNIT_ASSERT(!b1->rate.limit());
        // What the server itself has said holds until it says otherwise.
        fixture.servers().record_rate_limit(b1, 5);
        fixture.servers().end_old_rate_limits();
        CPPUNIT_ASSERT(b1->rate.limit());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_notice_test);

} // namespace toucan::edge
