#include "request_path_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <malloc.h>

#include <string>
#include <utility>
#include <vector>

namespace toucan::edge {

/// Backend servers that send bytes that are no answer, answers of other requests, or nothing.
class faulty_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(faulty_server_test);
    CPPUNIT_TEST(late_copy_of_a_response_reaches_no_other_caller);
    CPPUNIT_TEST(late_copy_of_an_unnamed_refusal_is_not_taken_for_another_request);
    CPPUNIT_TEST(refusal_repeated_on_a_kept_connection_proves_nothing);
    CPPUNIT_TEST(response_that_ends_in_its_head_is_no_success);
    CPPUNIT_TEST(unnamed_failure_is_forwarded_once);
    CPPUNIT_TEST(endless_bytes_end_in_unknown_outcome);
    CPPUNIT_TEST(endless_bytes_do_not_stop_idempotent_requests);
    CPPUNIT_TEST(endless_bodies_do_not_exceed_the_memory);
    CPPUNIT_TEST(heads_of_many_small_fields_do_not_exceed_the_memory);
    CPPUNIT_TEST(trickled_bytes_end_at_the_deadline);
    CPPUNIT_TEST(endless_surplus_responses_end_the_exchange);
    CPPUNIT_TEST(silent_server_keeps_a_non_idempotent_request);
    CPPUNIT_TEST(removed_server_completes_its_requests);
    CPPUNIT_TEST(lost_response_is_neither_repeated_nor_refused);
    CPPUNIT_TEST_SUITE_END();

    using reaction = scripted_backend::reaction;

    static std::string header(const std::vector<http_header>& headers, const std::string& name)
    {
        return std::string(find_header(headers, name));
    }

    static std::string refusal()
    {
        return "HTTP/1.1 503 Service Unavailable\r\n" + wire_names{}.not_run +
               ": 1\r\nContent-Length: 0\r\n\r\n";
    }

    /// Starts of responses, each with bytes that follow it without end.
    static std::vector<std::pair<std::string, std::string>> endless_responses()
    {
        const std::string start = "HTTP/1.1 200 OK\r\n";
        const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
        return {
            {"", std::string(1000, '\x07')},
            {"", "no status line\r\n"},
            {start, "X-More: 0123456789\r\n"},
            {start + "X-Long: ", std::string(1000, 'a')},
            {start + "\r\n", std::string(4000, 'b')},
            {start + "Content-Length: 99999999999\r\n\r\n", std::string(4000, 'b')},
            {chunked, "3e8\r\n" + std::string(1000, 'b') + "\r\n"},
            {chunked, "0000"},
            {chunked + "5;", "extension"},
            {chunked + "0\r\n", "X-More: 0123456789\r\n"},
            {start, "a:\r\n"},
            {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        };
    }

    static scripted_backend::reaction_script endless_script(const std::string& bytes,
                                                            const std::string& repeated,
                                                            milliseconds interval = {})
    {
        return [=](const parsed_request&) {
            reaction it;
            it.bytes = bytes;
            it.repeated = repeated;
            it.repeat_interval = interval;
            return it;
        };
    }

    /// Memory that this process has allocated, in bytes.
    static std::size_t allocated_bytes()
    {
        const auto all = mallinfo2();
        return all.uordblks + all.hblkhd;
    }

    /// Lengthens the deadline, so that an exchange that ends earlier was ended by a limit.
    static void set_long_timeout(std::vector<route>& routes)
    {
        for (auto& it : routes) {
            it.timeout = milliseconds(20000);
            it.objective = milliseconds(10000);
        }
    }

public:
    // A server sends a second copy of a response late, when the connection is in use again. The
    // next caller must receive the response to its own request.
    void late_copy_of_a_response_reaches_no_other_caller()
    {
        request_path_fixture fixture;
        std::size_t served = 0;
        auto& backend = fixture.add_backend("b1", [&](const parsed_request& it) {
            reaction answer;
            answer.bytes = fixture.signed_response(it, "body " + std::to_string(served));
            answer.delay = milliseconds(served++ % 2 == 0 ? 0 : 40);
            answer.late_copy = answer.bytes;
            answer.late_copy_delay = milliseconds(20);
            return answer;
        });
        fixture.configure();
        auto& caller = fixture.connect();
        for (std::size_t n = 0; n < 6; ++n) {
            const auto id = "id-" + std::to_string(n);
            caller.send(n % 2 == 0 ? fixture.get("/read/x", id) : fixture.post("/write/x", id));
            CPPUNIT_ASSERT(fixture.run_until([&] { return caller.responses().size() == n + 1; }));
            const auto& answer = caller.responses().back().response;
            CPPUNIT_ASSERT_EQUAL(id, header(answer.headers, fixture.names().attempt_id));
            CPPUNIT_ASSERT_EQUAL("body " + std::to_string(n), answer.body);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, backend.requests().size());
        CPPUNIT_ASSERT(backend.connections() < 6);
    }

    // A refusal does not name its request. Its late copy must not be taken as the refusal of the
    // next request, which runs: it would be sent to a second server.
    void late_copy_of_an_unnamed_refusal_is_not_taken_for_another_request()
    {
        request_path_fixture fixture;
        std::size_t runs = 0;
        const auto script = [&](const parsed_request& it) {
            reaction answer;
            if (it.request.path == "/read/refused") {
                answer.bytes = refusal();
                answer.late_copy = refusal();
                answer.late_copy_delay = milliseconds(40);
                return answer;
            }
            runs += it.request.path == "/write/x" ? 1 : 0;
            answer.bytes = fixture.signed_response(it);
            answer.delay = milliseconds(it.request.path == "/write/x" ? 100 : 0);
            return answer;
        };
        fixture.add_backend("b1", script);
        fixture.add_backend("b2", script);
        fixture.configure();
        for (int n = 0; n < 30; ++n) { // earns retry allowance
            fixture.exchange(fixture.get("/read/warm", "warm-" + std::to_string(n)));
        }
        fixture.exchange(fixture.get("/read/refused", "id-1"));
        const auto answer = fixture.exchange(fixture.post("/write/x", "id-2"));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200, answer->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs);
    }

    // Guards against requests that are sent to a second server, or whose callers are told that they
    // have not run, although they run: their server writes an earlier refusal once more on a kept
    // connection.
    void refusal_repeated_on_a_kept_connection_proves_nothing()
    {
        for (const bool named : {false, true}) {
            request_path_fixture fixture;
            std::size_t runs = 0;
            const auto script = [&](const parsed_request& it) {
                reaction answer;
                answer.bytes = fixture.signed_response(it);
                if (it.request.path == "/write/x") {
                    ++runs;
                    const auto earlier =
                        named ? fixture.names().attempt_id + ": warm-0\r\n" : std::string();
                    auto bytes = refusal();
                    bytes.insert(bytes.find("\r\n") + 2, earlier);
                    answer.late_copy = std::exchange(answer.bytes, bytes);
                    answer.late_copy_delay = milliseconds(60);
                }
                return answer;
            };
            auto& first = fixture.add_backend("b1", script);
            auto& second = fixture.add_backend("b2", script);
            fixture.configure();
            for (int n = 0; n < 30; ++n) { // earns retry allowance and opens connections
                fixture.exchange(fixture.get("/read/warm", "warm-" + std::to_string(n)));
            }
            const auto opened = first.connections() + second.connections();
            const auto answer = fixture.exchange(fixture.post("/write/x", "id-1"));
            CPPUNIT_ASSERT_EQUAL(opened, first.connections() + second.connections());
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs);
            CPPUNIT_ASSERT_EQUAL(named ? 200 : 502, answer->response.status);
        }
    }

    // Guards against an empty or short response that looks complete: a server stops in the head of
    // its response and closes the connection.
    void response_that_ends_in_its_head_is_no_success()
    {
        for (const bool with_length : {true, false}) {
            request_path_fixture fixture;
            std::size_t cut = 0;
            auto& backend = fixture.add_backend("b1", [&](const parsed_request& it) {
                auto bytes = fixture.signed_response(it);
                if (!with_length) {
                    const auto line = bytes.find("Content-Length");
                    bytes.erase(line, bytes.find("\r\n", line) + 2 - line);
                }
                const auto head = bytes.find("\r\n\r\n") + 4;
                const auto bytes_sent = std::min(cut, head - 1);
                cut = cut >= head - 1 ? 0 : cut + 1;
                return reaction{bytes.substr(0, bytes_sent), milliseconds(0), true};
            });
            fixture.configure();
            std::size_t answers = 0;
            do {
                const auto id = "id-" + std::to_string(answers++);
                const auto answer = fixture.exchange(fixture.post("/write/x", id));
                CPPUNIT_ASSERT(!answer || answer->response.status == 502 ||
                               answer->response.status == 503);
                // Requests that are refused because the server fails do not reach it.
                CPPUNIT_ASSERT(!answer || answer->response.status != 503 ||
                               backend.requests().size() < answers);
            } while (cut > 0 && answers < 2000);
            CPPUNIT_ASSERT(backend.requests().size() > 50);
        }
    }

    // An error response without an attempt id must be forwarded, and its connection must not be
    // used again, because a copy of it could not be told from another response.
    void unnamed_failure_is_forwarded_once()
    {
        request_path_fixture fixture;
        auto& backend = fixture.add_backend("b1", [](const parsed_request&) {
            return reaction{"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", {}, false};
        });
        fixture.configure();
        for (std::size_t n = 1; n <= 3; ++n) {
            const auto answer = fixture.exchange(fixture.get("/read/x", "id-" + std::to_string(n)));
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(404, answer->response.status);
            CPPUNIT_ASSERT_EQUAL(n, backend.connections());
        }
    }

    // Bytes without end must not occupy memory or a connection until the deadline. Whether the
    // request has run is unknown.
    void endless_bytes_end_in_unknown_outcome()
    {
        for (const auto& [start, repeated] : endless_responses()) {
            request_path_fixture fixture;
            auto& backend = fixture.add_backend("b1", endless_script(start, repeated));
            fixture.configure(set_long_timeout);
            const auto answer =
                fixture.exchange(fixture.post("/write/x", "id-1"), milliseconds(10000));
            CPPUNIT_ASSERT_MESSAGE(repeated.substr(0, 20), answer);
            CPPUNIT_ASSERT_EQUAL(502, answer->response.status);
            CPPUNIT_ASSERT(fixture.run_until([&] { return backend.closed() == 1; }));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, backend.requests().size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.response_memory().used());
        }
    }

    // An idempotent request whose server sends bytes without end must be answered by another one.
    void endless_bytes_do_not_stop_idempotent_requests()
    {
        for (const auto& [start, repeated] : endless_responses()) {
            request_path_fixture fixture;
            const auto endless = endless_script(start, repeated);
            fixture.add_backend("b1", [&](const parsed_request& it) {
                return it.request.path == "/read/warm"
                           ? reaction{fixture.signed_response(it), {}, false}
                           : endless(it);
            });
            fixture.add_backend("b2", [&](const parsed_request& it) {
                return reaction{fixture.signed_response(it), {}, false};
            });
            fixture.configure(set_long_timeout);
            for (int n = 0; n < 30; ++n) { // earns retry allowance
                fixture.exchange(fixture.get("/read/warm", "warm-" + std::to_string(n)));
            }
            for (int n = 0; n < 3; ++n) {
                const auto answer = fixture.exchange(
                    fixture.get("/read/x", "id-" + std::to_string(n)), milliseconds(10000));
                CPPUNIT_ASSERT_MESSAGE(repeated.substr(0, 20), answer);
                CPPUNIT_ASSERT_EQUAL(200, answer->response.status);
            }
        }
    }

    // Several servers that send bodies without end at the same time must not use up the memory of
    // a small VM, and must not stop small responses.
    void endless_bodies_do_not_exceed_the_memory()
    {
        request_path_fixture fixture;
        std::size_t peak = 0;
        fixture.add_backend("b1", [&](const parsed_request& it) {
            if (it.request.path == "/read/small") {
                return reaction{fixture.signed_response(it), {}, false};
            }
            return endless_script("HTTP/1.1 200 OK\r\n\r\n", std::string(32U << 10U, 'b'),
                                  milliseconds(1))(it);
        });
        fixture.configure(set_long_timeout);
        for (int n = 0; n < 4; ++n) {
            fixture.connect().send(fixture.post("/write/x", "id-" + std::to_string(n)));
        }
        CPPUNIT_ASSERT(fixture.run_until([&] { return fixture.callers().in_progress() == 4; }));
        fixture.run_until(
            [&] {
                peak = std::max(peak, fixture.response_memory().used());
                return fixture.callers().in_progress() == 0;
            },
            milliseconds(8000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.callers().in_progress());
        CPPUNIT_ASSERT(peak > (1U << 20U));
        CPPUNIT_ASSERT(peak <= (4U << 20U) + 4 * byte_reservation::always_granted);
        const auto answer = fixture.exchange(fixture.get("/read/small", "small"));
        CPPUNIT_ASSERT(answer && answer->response.status == 200);
    }

    // Guards against servers whose response heads hold thousands of fields of a few bytes: each
    // field takes far more memory than its bytes, and the heads are not complete, so that nothing
    // ends the requests before their deadline.
    void heads_of_many_small_fields_do_not_exceed_the_memory()
    {
        constexpr std::size_t requests = 40;
        // Share of the memory of a VM for messages, divided by the slots of all servers.
        constexpr std::size_t bytes_per_request = 200U << 10U;
        std::string head = "HTTP/1.1 200 OK\r\n";
        while (head.size() < 60U << 10U) {
            head += "a:\r\n";
        }
        request_path_fixture fixture;
        std::size_t received = 0;
        for (std::size_t n = 0; n < requests; ++n) {
            fixture.add_backend("b" + std::to_string(n), [&](const parsed_request&) {
                ++received;
                return reaction{head, milliseconds(500), false};
            });
        }
        fixture.configure(set_long_timeout);
        for (std::size_t n = 0; n < requests; ++n) {
            fixture.connect().send(fixture.post("/write/x", "id-" + std::to_string(n)));
        }
        CPPUNIT_ASSERT(fixture.run_until([&] { return received == requests; }));
        const auto before = allocated_bytes();
        std::size_t peak = before;
        fixture.run_until(
            [&] {
                peak = std::max(peak, allocated_bytes());
                return false;
            },
            milliseconds(1500));
        CPPUNIT_ASSERT_LESS(requests * bytes_per_request, peak - before);
    }

    // A server that sends single bytes slowly must not hold a request beyond its deadline, nor the
    // connection.
    void trickled_bytes_end_at_the_deadline()
    {
        request_path_fixture fixture;
        auto& backend =
            fixture.add_backend("b1", endless_script("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n",
                                                     "a", milliseconds(100)));
        fixture.configure();
        const auto answer = fixture.exchange(fixture.post("/write/x", "id-1"), milliseconds(1500));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(answer->response.status == 504 || answer->response.status == 502);
        CPPUNIT_ASSERT(fixture.run_until([&] { return backend.closed() == 1; }));
    }

    // A server that sends responses to other requests without end must not hold a request until
    // its deadline.
    void endless_surplus_responses_end_the_exchange()
    {
        request_path_fixture fixture;
        auto& backend = fixture.add_backend("b1", [&](const parsed_request& it) {
            auto other = it;
            other.request.headers = {{fixture.names().attempt_id, "another"}};
            return endless_script("", fixture.signed_response(other))(it);
        });
        fixture.configure(set_long_timeout);
        const auto answer = fixture.exchange(fixture.post("/write/x", "id-1"), milliseconds(3000));
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(502, answer->response.status);
        CPPUNIT_ASSERT(fixture.run_until([&] { return backend.closed() == 1; }));
    }

    // A server that is unreachable for a few seconds may still run a request. Its connection must
    // not be given up before the deadline if the request cannot be sent again, and an idempotent
    // request must not wait for it.
    void silent_server_keeps_a_non_idempotent_request()
    {
        asio::io_context loop{1};
        const system_clock time;
        tcp::acceptor acceptor(loop, tcp_endpoint({0x7f000001, 0}));
        const auto connection = std::make_shared<http_connection>(
            loop, vm_address{0x7f000001, acceptor.local_endpoint().port()}, time);
        tcp::socket accepted(loop);
        acceptor.async_accept(accepted, [](error_code) {});
        const http_connection::exchange_limits patient{milliseconds(400), milliseconds(9000)};
        connection->send({"POST", "/", {}, "order"}, patient, {}, [](const exchange_result&) {});
        loop.run_for(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(9000L, static_cast<long>(connection->silence_timeout().count()));
        asio::write(accepted, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                                                       "\r\n")));
        loop.restart();
        loop.run_for(milliseconds(50));
        CPPUNIT_ASSERT(connection->reusable());
        connection->send({"GET", "/", {}, {}}, {}, {}, [](const exchange_result&) {});
        CPPUNIT_ASSERT_EQUAL(default_silence_timeout.count(),
                             connection->silence_timeout().count());
        connection->abort();
        loop.restart();
        loop.run_for(milliseconds(10));
    }

    // A server whose row disappears, because it is silent towards the store, may still run its
    // requests. They must neither be given up nor be started elsewhere.
    void removed_server_completes_its_requests()
    {
        request_path_fixture fixture;
        auto& first = fixture.add_backend("b1", [&](const parsed_request& it) {
            return reaction{fixture.signed_response(it), milliseconds(150), false};
        });
        fixture.configure();
        auto& caller = fixture.connect();
        caller.send(fixture.post("/write/x", "id-1"));
        CPPUNIT_ASSERT(fixture.run_until([&] { return first.requests().size() == 1; }));
        auto& second = fixture.add_backend("b2", [&](const parsed_request& it) {
            return reaction{fixture.signed_response(it), {}, false};
        });
        fixture.servers().remove(backend_server_name("b1"));
        CPPUNIT_ASSERT(fixture.run_until([&] { return caller.responses().size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(200, caller.responses()[0].response.status);
        CPPUNIT_ASSERT(second.requests().empty());
    }

    // A server runs a request and its response is lost. The request must not run again, and its
    // caller must not be told that it has not run.
    void lost_response_is_neither_repeated_nor_refused()
    {
        request_path_fixture fixture;
        std::size_t runs = 0;
        const auto script = [&](const parsed_request& it) {
            runs += it.request.path == "/write/x" ? 1 : 0;
            return it.request.path == "/write/x" ? reaction{"", milliseconds(20), true}
                                                 : reaction{fixture.signed_response(it), {}, false};
        };
        fixture.add_backend("b1", script);
        fixture.add_backend("b2", script);
        fixture.configure();
        for (int n = 0; n < 30; ++n) { // earns retry allowance
            fixture.exchange(fixture.get("/read/x", "warm-" + std::to_string(n)));
        }
        for (std::size_t n = 1; n <= 5; ++n) {
            const auto answer =
                fixture.exchange(fixture.post("/write/x", "id-" + std::to_string(n)));
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(502, answer->response.status);
            CPPUNIT_ASSERT_EQUAL(n, runs);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(faulty_server_test);

} // namespace toucan::edge
