#include "raw_server.h"

#include "toucan/backend/backend_client.h"
#include "toucan/backend/backend_poll.h"
#include "toucan/backend/backend_pool.h"
#include "toucan/base/system_clock.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <iostream>
#include <random>

namespace toucan::backend {

namespace {

using test::raw_peer;
using test::raw_server;
using namespace std::string_literals;

constexpr std::chrono::seconds test_timeout{30};
constexpr std::string_view small_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

http_request get(std::string path = "/a")
{
    return {"GET", std::move(path), {}, {}};
}

/// Sends the same response to every request of a connection.
std::function<void(raw_peer&)> always(std::string answer)
{
    return [answer = std::move(answer)](raw_peer& it) {
        while (!it.read_request().empty()) {
            it.write(answer);
        }
    };
}

/// Sends a response to the first request, then closes the connection.
std::function<void(raw_peer&)> once(std::string answer)
{
    return [answer = std::move(answer)](raw_peer& it) {
        it.read_request();
        it.write(answer);
    };
}

template <typename T>
bool is(const dispatch_result& it)
{
    return std::holds_alternative<T>(it);
}

void wait_until(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + test_timeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    CPPUNIT_ASSERT(condition());
}

} // namespace

class backend_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_test);
    CPPUNIT_TEST(forwards_only_end_to_end_headers);
    CPPUNIT_TEST(large_bodies_arrive_complete);
    CPPUNIT_TEST(connection_is_reused);
    CPPUNIT_TEST(truncated_response_is_interrupted);
    CPPUNIT_TEST(unsafe_framing_is_interrupted);
    CPPUNIT_TEST(statuses_without_body_need_no_length);
    CPPUNIT_TEST(malformed_response_is_interrupted);
    CPPUNIT_TEST(broken_response_is_interrupted);
    CPPUNIT_TEST(broken_response_is_reported);
    CPPUNIT_TEST(broken_poll_is_not_believed);
    CPPUNIT_TEST(sound_response_is_unchanged);
    CPPUNIT_TEST(timed_out_connection_is_closed);
    CPPUNIT_TEST(cancelled_connection_is_closed);
    CPPUNIT_TEST(surplus_bytes_do_not_reach_the_next_request);
    CPPUNIT_TEST(closed_idle_connection_is_replaced);
    CPPUNIT_TEST(close_without_response_is_not_reported_as_not_sent);
    CPPUNIT_TEST(refused_connection_is_not_sent);
    CPPUNIT_TEST(denied_dispatch_writes_nothing);
    CPPUNIT_TEST(malformed_requests_are_not_sent);
    CPPUNIT_TEST(only_the_shed_header_reports_shed);
    CPPUNIT_TEST(open_connections_are_limited);
    CPPUNIT_TEST(malformed_reports_are_rejected);
    CPPUNIT_TEST(poll_reads_both_reports);
    CPPUNIT_TEST(reconfiguration_keeps_clients_of_unchanged_addresses);
    CPPUNIT_TEST_SUITE_END();

    system_clock clock_;

    steady_time short_deadline() const { return clock_.now() + milliseconds(100); }
    steady_time long_deadline() const { return clock_.now() + test_timeout; }

    dispatch_result send_once(const std::string& answer, const http_request& request = get())
    {
        raw_server server(once(answer));
        backend_client client(server.address(), 1, clock_);
        return client.send(request, long_deadline());
    }

public:
    // Guards against forwarding hop-by-hop headers in either direction, against decoded header
    // values, and against a deadline set by the caller instead of the daemon.
    void forwards_only_end_to_end_headers()
    {
        std::string received;
        raw_server server([&received](raw_peer& it) {
            received = it.read_request();
            it.write("HTTP/1.1 201 Created\r\nX-Note: 100%25\r\nSet-Cookie: a\r\nset-cookie: b\r\n"
                     "Connection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 0\r\n\r\n");
        });
        backend_client client(server.address(), 1, clock_);
        const http_request request{"POST",
                                   "/orders?x=%20y",
                                   {{"X-Caller", "7"},
                                    {"Connection", "close, X-Private"},
                                    {"X-Private", "1"},
                                    {"Transfer-Encoding", "chunked"},
                                    {"Toucan-Deadline-Ms", "999999"}},
                                   "body"};
        const auto result = client.send(request, long_deadline());
        CPPUNIT_ASSERT(is<responded>(result));
        const auto& response = std::get<responded>(result).response;
        CPPUNIT_ASSERT_EQUAL(201, response.status);
        const std::vector<http_header> expected = {
            {"X-Note", "100%25"}, {"Set-Cookie", "a"}, {"set-cookie", "b"}};
        CPPUNIT_ASSERT(response.headers == expected);

        const auto mark = received.find("Toucan-Deadline-Ms: ");
        CPPUNIT_ASSERT(mark != std::string::npos);
        const auto left = std::stoi(received.substr(mark + 20));
        CPPUNIT_ASSERT(left > 0 && left <= 30'000);
        const auto expected_text =
            fmt::format("POST /orders?x=%20y HTTP/1.1\r\nHost: {}\r\nToucan-Deadline-Ms: {}\r\n"
                        "X-Caller: 7\r\nContent-Length: 4\r\n\r\nbody",
                        server.address().to_string(), left);
        CPPUNIT_ASSERT_EQUAL(expected_text, received);
    }

    // Guards against truncated bodies if a request or response needs many reads and writes.
    void large_bodies_arrive_complete()
    {
        const std::string body(3'000'000, 'b');
        raw_server server([](raw_peer& it) {
            const auto request = it.read_request();
            const auto sent = request.substr(request.find("\r\n\r\n") + 4);
            it.write(
                fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", sent.size(), sent));
        });
        backend_client client(server.address(), 1, clock_);
        const auto result = client.send({"PUT", "/", {}, body}, long_deadline());
        CPPUNIT_ASSERT(is<responded>(result));
        CPPUNIT_ASSERT(std::get<responded>(result).response.body == body);
    }

    // Guards against a new connection for each request.
    void connection_is_reused()
    {
        raw_server server(always(std::string(small_answer)));
        backend_client client(server.address(), 4, clock_);
        for (int it = 0; it < 5; ++it) {
            CPPUNIT_ASSERT(is<responded>(client.send(get(), long_deadline())));
        }
        CPPUNIT_ASSERT_EQUAL(1, server.accepted());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client.read_counts().idle);
    }

    // A response truncated at any byte must not be reported as a shorter complete response.
    void truncated_response_is_interrupted()
    {
        const std::vector<std::string> answers = {
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
            "chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"};
        for (const auto& answer : answers) {
            for (std::size_t size = 0; size < answer.size(); ++size) {
                const auto result = send_once(answer.substr(0, size));
                CPPUNIT_ASSERT_MESSAGE(answer.substr(0, size), is<interrupted>(result));
            }
            const auto result = send_once(answer);
            CPPUNIT_ASSERT(is<responded>(result));
            CPPUNIT_ASSERT_EQUAL(std::string("hello"), std::get<responded>(result).response.body);
        }
    }

    // Guards against reporting a response as complete if truncation of its body would go unnoticed.
    void unsafe_framing_is_interrupted()
    {
        const char* const length_and_chunked =
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n0\r\n\r\n";
        for (const auto* it :
             {"HTTP/1.1 200 OK\r\n\r\nhello", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nhello",
              "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
              "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
              "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n",
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
              length_and_chunked, "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
              "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\nabc"}) {
            CPPUNIT_ASSERT_MESSAGE(it, is<interrupted>(send_once(it)));
        }
    }

    // Guards against treating a response as truncated if its status or method excludes a body.
    void statuses_without_body_need_no_length()
    {
        CPPUNIT_ASSERT(is<responded>(send_once("HTTP/1.1 204 No Content\r\n\r\n")));
        CPPUNIT_ASSERT(is<responded>(send_once("HTTP/1.1 304 Not Modified\r\n\r\n")));
        const auto head =
            send_once("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", {"HEAD", "/", {}, {}});
        CPPUNIT_ASSERT(is<responded>(head));
        const auto interim = send_once(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        CPPUNIT_ASSERT(is<responded>(interim));
        // The fields of an interim response must not be reported as those of the final one.
        for (const auto* it : {"HTTP/1.1 100 Continue\r\nX: y\r\n\r\n",
                               "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"}) {
            const auto result = send_once(it + std::string(small_answer));
            CPPUNIT_ASSERT_MESSAGE(it, is<responded>(result));
            const http_response expected{200, {}, "ok"};
            CPPUNIT_ASSERT_MESSAGE(it, std::get<responded>(result).response == expected);
            CPPUNIT_ASSERT_MESSAGE(it, is<interrupted>(send_once(it)));
        }
    }

    // Guards against reporting a response that is not valid HTTP, such as one with the status 000
    // or with a blank in the name of a field: the caller would get it, or a body that is not the
    // one that the server meant, or that the request has not run.
    void broken_response_is_interrupted()
    {
        const auto ok = "HTTP/1.1 200 OK\r\n"s;
        const auto length = "Content-Length: 2\r\n"s;
        const auto sound = ok + length + "\r\nok";
        const auto chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
        std::vector<std::string> broken = {
            "HTTP/1.1 20 OK\r\n" + length + "\r\nok",
            "HTTP/1.1 2000 OK\r\n" + length + "\r\nok",
            "HTTP/1.2 200 OK\r\n" + length + "\r\nok",
            "HTTP/1.1 200 O\001K\r\n" + length + "\r\nok",
            "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
            "HTTP/1.1 204 No Content\r\n" + length + "\r\nok",
            "HTTP/1.1 101 Switching Protocols\r\n\r\n" + sound,
            "HTTP/1.1 100 Continue\r\nX Y: 1\r\n\r\n" + sound,
            "HTTP/1.1 100 Continue\r\nX Y: 1\r\n" + sound,
            "HTTP/1.1 100 Continue\r\n" + length + "\r\nok" + sound,
            "HTTP/1.1 000 None\r\n\r\n" + sound,
            ok + "Content-Length : 2\r\n\r\nok",
            ok + "Content-Length: +2\r\n\r\nok",
            ok + "Content-Length: 2, 3\r\n\r\nok",
            ok + "Transfer-Encoding: gzip\r\n" + length + "\r\nok",
            ok + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            ok + "Transfer-Encoding: chunked, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        };
        for (const auto* status : {"000", "001", "099", "600", "999"}) {
            broken.push_back(fmt::format("HTTP/1.1 {} Text\r\n{}\r\nok", status, length));
        }
        for (const auto& line :
             {"X Y: 1"s, "X : 1"s, " X: 1"s, "X\tY: 1"s, "X\001: 1"s, "X\0Y: 1"s, "X\177: 1"s,
              "X\200: 1"s, ": 1"s, "X"s, "X: \001"s, "X: a\0b"s, "X: a\r b"s, "X: a\nY: b"s}) {
            broken.push_back(fmt::format("{}{}\r\n{}\r\nok", ok, line, length));
            broken.push_back(fmt::format("{}{}{}\r\n\r\nok", ok, length, line));
            broken.push_back(
                fmt::format("HTTP/1.1 503 Busy\r\nToucan-Shed: 1\r\n{}{}\r\n\r\nok", length, line));
            broken.push_back(fmt::format("{}2\r\nok\r\n0\r\n{}\r\n\r\n", chunked, line));
        }
        for (const auto* size :
             {"2 ", "2 x", "+2", "-2", "0x2", " 2", "2x", "", "2\n", "10000000000000002"}) {
            broken.push_back(fmt::format("{}{}\r\nok\r\n0\r\n\r\n", chunked, size));
        }
        for (const auto* end : {"0x\r\n\r\n", "0 x\r\n\r\n", "0\n\n", "\r\n"}) {
            broken.push_back(fmt::format("{}2\r\nok\r\n{}", chunked, end));
        }
        std::string accepted;
        for (const auto& it : broken) {
            if (!is<interrupted>(send_once(it))) {
                accepted.append("\n---\n").append(it);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), accepted);
    }

    // Guards against a broken response that nobody hears of, and one that is counted as another
    // fault.
    void broken_response_is_reported()
    {
        const std::vector<std::pair<std::string, std::optional<response_fault>>> cases = {
            {"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", response_fault::status},
            {"HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n", response_fault::head},
            {"HTTP/1.1 200 OK\r\n\r\nabc", response_fault::framing},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2x\r\n",
             response_fault::framing},
            {"HTTP/1.1 101 Switching Protocols\r\n\r\n", response_fault::interim},
            {"HTTP/1.1 200 OK\r\nX: " + std::string(70000, 'x'), response_fault::limit},
            {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", response_fault::early_end},
            {"", std::nullopt},
            {std::string(small_answer), std::nullopt},
        };
        for (const auto& [answer, fault] : cases) {
            raw_server server(once(answer));
            std::vector<std::optional<response_fault>> reported;
            backend_client client(
                server.address(), 1, clock_,
                [&](const vm_address& from, response_fault it, const std::string& reason) {
                    CPPUNIT_ASSERT(from == server.address() && !reason.empty());
                    reported.emplace_back(it);
                });
            client.send(get(), long_deadline());
            const auto expected = fault ? std::vector<std::optional<response_fault>>{fault}
                                        : std::vector<std::optional<response_fault>>{};
            CPPUNIT_ASSERT_MESSAGE(answer.substr(0, 60), reported == expected);
        }
    }

    // Guards against believing the load or the state in a broken response to a poll.
    void broken_poll_is_not_believed()
    {
        for (const auto* head : {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
                                 "HTTP/1.1 200 OK\r\nX\001: 1\r\n"}) {
            const auto body = R"({"state":"draining","incarnation":"7","in_use":9,"slots":9})"s;
            raw_server server(
                always(fmt::format("{}Content-Length: {}\r\n\r\n{}", head, body.size(), body)));
            backend_client client(server.address(), 1, clock_);
            const auto result = poll_backend(client, clock_, long_deadline());
            CPPUNIT_ASSERT_MESSAGE(head, !result.health && !result.load);
            CPPUNIT_ASSERT_MESSAGE(head, !result.reason.empty());
        }
    }

    // Guards against checks that also reject or change responses that are allowed.
    void sound_response_is_unchanged()
    {
        for (const int status : {200, 226, 299, 302, 399, 404, 499, 500, 503, 599}) {
            const auto result =
                send_once(fmt::format("HTTP/1.1 {} Text\r\nContent-Length: 2\r\n\r\nok", status));
            CPPUNIT_ASSERT(is<responded>(result));
            CPPUNIT_ASSERT_EQUAL(status, std::get<responded>(result).response.status);
        }
        const std::vector<http_header> fields = {{"!#$%&'*+-.^_`|~09azAZ", "1"},
                                                 {"X-Empty", ""},
                                                 {"X-Tab", "a\tb"},
                                                 {"X-Bytes", "\200\351\377"},
                                                 {"X-Symbols", "\"(),/:;<=>?@[\\]{}%20\""}};
        auto head = "HTTP/1.1 200 \r\n"s;
        for (const auto& it : fields) {
            head += fmt::format("{}: {}\r\n", it.name, it.value);
        }
        for (const auto* rest :
             {"Content-Length: 2\r\n\r\nok", "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
              "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n01;a=b\r\nk\r\n0\r\n\r\n",
              "Transfer-Encoding: CHUNKED\r\n\r\n2\r\nok\r\n0\r\nX-After: 1\r\n\r\n"}) {
            const auto result = send_once(head + rest);
            CPPUNIT_ASSERT_MESSAGE(rest, is<responded>(result));
            const auto& response = std::get<responded>(result).response;
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), response.body);
            CPPUNIT_ASSERT_MESSAGE(rest, response.headers == fields);
        }
    }

    // Guards against a crash on random bytes, and against reporting them as a response.
    void malformed_response_is_interrupted()
    {
        constexpr std::uint64_t seed = 7;
        std::cout << fmt::format("\nrandom responses, seed {}\n", seed);
        std::mt19937_64 random(seed);
        const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
        for (int it = 0; it < 300; ++it) {
            auto text = whole;
            if (it % 2 == 0) {
                text.assign(random() % 300, ' ');
                std::generate(text.begin(), text.end(),
                              [&] { return static_cast<char>(random()); });
            }
            // Deletes one of the first 9 characters, so that the head is always malformed.
            text.erase(random() % std::min<std::size_t>(text.size() + 1, 9), 1);
            CPPUNIT_ASSERT_MESSAGE(text, is<interrupted>(send_once(text)));
        }
    }

    // A late response must not be read as the response to the next request on the connection.
    void timed_out_connection_is_closed()
    {
        std::atomic<bool> stall = true;
        raw_server server([&stall](raw_peer& it) {
            it.read_request();
            if (stall) {
                it.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe");
                it.wait_for_close();
                return;
            }
            it.write(small_answer);
            it.wait_for_close();
        });
        backend_client client(server.address(), 1, clock_);
        CPPUNIT_ASSERT(is<timed_out>(client.send(get(), short_deadline())));
        wait_until([&] { return server.closed() == 1; });
        stall = false;
        CPPUNIT_ASSERT(is<responded>(client.send(get(), long_deadline())));
    }

    // Guards against a cancelled request that keeps its connection: its late response could be read
    // as the response to the next request.
    void cancelled_connection_is_closed()
    {
        std::atomic<bool> has_request = false;
        raw_server server([&has_request](raw_peer& it) {
            it.read_request();
            has_request = true;
            it.wait_for_close();
        });
        backend_client client(server.address(), 1, clock_);
        cancellation cancel;
        std::thread canceller([&] {
            while (!has_request) {
                std::this_thread::yield();
            }
            cancel.cancel();
        });
        const auto result = client.send(get(), long_deadline(), {}, &cancel);
        canceller.join();
        CPPUNIT_ASSERT(is<interrupted>(result));
        wait_until([&] { return server.closed() == 1; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client.read_counts().open);
        CPPUNIT_ASSERT(is<not_sent>(client.send(get(), long_deadline(), {}, &cancel)));
    }

    // Guards against reading bytes that follow a complete response as the response to the next
    // request.
    void surplus_bytes_do_not_reach_the_next_request()
    {
        raw_server server(always("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                                 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"));
        backend_client client(server.address(), 1, clock_);
        for (int it = 0; it < 3; ++it) {
            const auto result = client.send(get(), long_deadline());
            CPPUNIT_ASSERT(is<responded>(result));
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), std::get<responded>(result).response.body);
        }
    }

    // Guards against requests that fail because the backend server closed an idle connection.
    void closed_idle_connection_is_replaced()
    {
        raw_server server(once(std::string(small_answer)));
        backend_client client(server.address(), 1, clock_);
        for (int it = 0; it < 5; ++it) {
            CPPUNIT_ASSERT(is<responded>(client.send(get(), long_deadline())));
            wait_until([&] { return server.closed() == it + 1; });
        }
        CPPUNIT_ASSERT_EQUAL(5, server.accepted());
    }

    // A request that the backend server may have read must not be reported as not sent: it would be
    // dispatched a second time.
    void close_without_response_is_not_reported_as_not_sent()
    {
        raw_server server([](raw_peer& it) { it.read_request(); });
        backend_client client(server.address(), 1, clock_);
        for (int it = 0; it < 20; ++it) {
            CPPUNIT_ASSERT(is<interrupted>(client.send(get(), long_deadline())));
        }
        // The server closes before it reads. Whether a byte is written is a race; both results are
        // valid, a response is not.
        raw_server closing([](raw_peer&) {});
        backend_client other(closing.address(), 1, clock_);
        for (int it = 0; it < 20; ++it) {
            const auto result = other.send(get(), long_deadline());
            CPPUNIT_ASSERT(is<interrupted>(result) || is<not_sent>(result));
        }
    }

    // Guards against reporting a request as possibly run if no connection could be established.
    void refused_connection_is_not_sent()
    {
        raw_server server(always(std::string(small_answer)));
        backend_client client(server.address(), 1, clock_);
        CPPUNIT_ASSERT(is<responded>(client.send(get(), long_deadline())));
        server.stop();
        CPPUNIT_ASSERT(is<not_sent>(client.send(get(), long_deadline())));
        CPPUNIT_ASSERT(is<not_sent>(client.send(get(), clock_.now())));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client.read_counts().open);
    }

    // Guards against writing bytes of a request that the guard denies: the backend server might run
    // it.
    void denied_dispatch_writes_nothing()
    {
        std::atomic<bool> has_bytes = false;
        raw_server server(
            [&has_bytes](raw_peer& it) { has_bytes = has_bytes || !it.read_request().empty(); });
        {
            backend_client client(server.address(), 1, clock_);
            const operations::dispatch_guard deny([] { return false; });
            CPPUNIT_ASSERT(is<not_sent>(client.send(get(), long_deadline(), deny)));
        }
        wait_until([&] { return server.closed() == 1; });
        CPPUNIT_ASSERT(!has_bytes);
    }

    // A line break in a header or path would let a caller smuggle a second request.
    void malformed_requests_are_not_sent()
    {
        raw_server server(always(std::string(small_answer)));
        backend_client client(server.address(), 1, clock_);
        for (const auto& it : std::vector<http_request>{{"GET", "/ HTTP/1.1\r\nX: y", {}, {}},
                                                        {"GET", "no-slash", {}, {}},
                                                        {"GET", "", {}, {}},
                                                        {"GE T", "/", {}, {}},
                                                        {"GET", "/", {{"X", "a\r\nY: b"}}, {}},
                                                        {"GET", "/", {{"X:", "a"}}, {}}}) {
            CPPUNIT_ASSERT_MESSAGE(it.path, is<not_sent>(client.send(it, long_deadline())));
        }
    }

    // Guards against reporting a request as not run because of the status or the shed header alone.
    void only_the_shed_header_reports_shed()
    {
        const auto shed_503 = send_once("HTTP/1.1 503 Busy\r\nToucan-Shed: 1\r\nRetry-After: 3\r\n"
                                        "Content-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(is<shed>(shed_503));
        CPPUNIT_ASSERT(std::get<shed>(shed_503).retry_after == std::chrono::seconds(3));
        CPPUNIT_ASSERT(is<shed>(send_once("HTTP/1.1 504 Late\r\nToucan-Shed: 1\r\n"
                                          "Content-Length: 0\r\n\r\n")));
        CPPUNIT_ASSERT(is<responded>(send_once("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")));
        CPPUNIT_ASSERT(is<responded>(
            send_once("HTTP/1.1 500 No\r\nToucan-Shed: 1\r\nContent-Length: 0\r\n\r\n")));
        // A truncated shed response does not prove that the request was not run.
        CPPUNIT_ASSERT(is<interrupted>(
            send_once("HTTP/1.1 503 Busy\r\nToucan-Shed: 1\r\nContent-Length: 9\r\n\r\nab")));
    }

    // Guards against more open connections than the limit if many threads send at the same time.
    void open_connections_are_limited()
    {
        raw_server server([](raw_peer& it) {
            while (!it.read_request().empty()) {
                std::this_thread::sleep_for(milliseconds(2));
                it.write(small_answer);
            }
        });
        backend_client client(server.address(), 2, clock_);
        std::atomic<int> answers = 0;
        std::vector<std::thread> threads;
        threads.reserve(8);
        for (int it = 0; it < 8; ++it) {
            threads.emplace_back(
                [&] { answers += is<responded>(client.send(get(), long_deadline())) ? 1 : 0; });
        }
        for (auto& it : threads) {
            it.join();
        }
        CPPUNIT_ASSERT_EQUAL(8, answers.load());
        CPPUNIT_ASSERT(server.accepted() <= 2);
        client.set_max_connections(1);
        CPPUNIT_ASSERT(client.read_counts().open <= 1);
    }

    // Guards against using malformed reports or unreasonable slot counts for admission.
    void malformed_reports_are_rejected()
    {
        const health_report good{backend_state::draining, "7"};
        CPPUNIT_ASSERT(parse_health(R"({"state":"draining","incarnation":"7"})") == good);
        CPPUNIT_ASSERT(parse_health(R"({"state":"draining","incarnation":7,"x":[]})") == good);
        for (const auto* it : {"", "[]", "null", "{", R"({"state":1,"incarnation":"7"})",
                               R"({"state":"fine","incarnation":"7"})", R"({"state":"ready"})",
                               R"({"state":"ready","incarnation":-1})", "\xff\xfe"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !parse_health(it));
        }
        CPPUNIT_ASSERT((parse_load(R"({"in_use":3,"slots":9})") == load_report{3, 9}));
        for (const auto* it : {"", "3", R"({"in_use":-3,"slots":9})", R"({"in_use":3})",
                               R"({"in_use":3,"slots":1e99})", R"({"in_use":3.5,"slots":9})",
                               R"({"in_use":3,"slots":4294967297})"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !parse_load(it));
        }
    }

    // Guards against discarding a valid health report because the load report is malformed.
    void poll_reads_both_reports()
    {
        raw_server server([](raw_peer& it) {
            while (true) {
                const auto request = it.read_request();
                if (request.empty()) {
                    return;
                }
                const std::string body = request.rfind("GET /health", 0) == 0
                                             ? R"({"state":"ready","incarnation":"7"})"
                                             : R"({"in_use":3,"slots":"many"})";
                it.write(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(),
                                     body));
            }
        });
        backend_client client(server.address(), 1, clock_);
        const auto before = clock_.now();
        const auto result = poll_backend(client, clock_, long_deadline());
        CPPUNIT_ASSERT(result.requested_at >= before);
        CPPUNIT_ASSERT(result.health.has_value());
        CPPUNIT_ASSERT(!result.load.has_value());
        CPPUNIT_ASSERT(!result.reason.empty());
    }

    // Guards against closing connections to backend servers that remain in the configuration.
    void reconfiguration_keeps_clients_of_unchanged_addresses()
    {
        const vm_address first(INADDR_LOOPBACK, 1);
        const vm_address second(INADDR_LOOPBACK, 2);
        steering::configuration config;
        config.services.resize(1);
        auto& upstreams = config.services.front().upstreams;
        upstreams.resize(2);
        upstreams.at(0).address = first;
        upstreams.at(1).address = second;
        backend_pool pool(clock_);
        pool.apply(config);
        const auto kept = pool.find(first);
        CPPUNIT_ASSERT(kept && pool.find(second));
        upstreams.pop_back();
        upstreams.front().connections = 5;
        pool.apply(config);
        CPPUNIT_ASSERT(pool.find(first) == kept);
        CPPUNIT_ASSERT(!pool.find(second));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_test);

} // namespace toucan::backend
