#include "raw_server.h"

#include "toucan/base/blocking_http_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <variant>
#include <vector>

namespace toucan {

/// Client of the platform and of daemons, against a server that sends given bytes.
class blocking_http_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(blocking_http_client_test);
    CPPUNIT_TEST(broken_response_is_a_failure_with_its_fault);
    CPPUNIT_TEST(request_is_sent_as_given);
    CPPUNIT_TEST(response_without_length_ends_with_the_connection);
    CPPUNIT_TEST(silent_server_is_given_up);
    CPPUNIT_TEST(only_a_refused_connection_sends_nothing);
    CPPUNIT_TEST_SUITE_END();

    using milliseconds = std::chrono::milliseconds;

    static constexpr milliseconds timeout{3000};

    /// Calls a server that answers with the given bytes and closes the connection.
    static blocking_http_client::result call_once(const std::string& answer,
                                                  const std::string& method = "GET")
    {
        test::raw_server server([&](test::raw_peer& peer) {
            peer.read_request();
            peer.write(answer);
        });
        return blocking_http_client(server.address(), timeout).call({method, "/a", {}, {}});
    }

public:
    // Guards against a broken response that is used, or that is told from a missing one nowhere.
    void broken_response_is_a_failure_with_its_fault()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::vector<std::pair<std::string, std::optional<response_fault>>> cases = {
            {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", response_fault::status},
            {"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok", response_fault::status},
            {"HTTP/1.1 101 Switching Protocols\r\n\r\n", response_fault::interim},
            {ok + "X Y: 1\r\nContent-Length: 2\r\n\r\nok", response_fault::head},
            {ok + "X\001: 1\r\nContent-Length: 2\r\n\r\nok", response_fault::head},
            {ok + "Content-Length : 2\r\n\r\nok", response_fault::head},
            {ok + "Content-Length: 2, 3\r\n\r\nok", response_fault::framing},
            {ok + "Transfer-Encoding: gzip\r\n\r\nok", response_fault::framing},
            {ok + "Content-Length: 99999999999\r\n\r\nok", response_fault::limit},
            {ok + "Content-Length: 3\r\n\r\nok", response_fault::early_end},
            {"", std::nullopt},
        };
        for (const auto& [answer, fault] : cases) {
            const auto result = call_once(answer);
            const auto* failed = std::get_if<http_call_failed>(&result);
            CPPUNIT_ASSERT_MESSAGE(answer, failed != nullptr);
            CPPUNIT_ASSERT_MESSAGE(answer, failed->fault == fault);
            CPPUNIT_ASSERT_MESSAGE(answer, !failed->not_sent && !failed->reason.empty());
        }
    }

    // Guards against a request that is changed on its way, such as one with an encoded path.
    void request_is_sent_as_given()
    {
        std::string received;
        test::raw_server server([&](test::raw_peer& peer) {
            received = peer.read_request();
            peer.write("HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nok");
        });
        blocking_http_client client(server.address(), timeout);
        const auto result = client.call({"PUT", "/a%20b?c=%2F", {{"X-B", "2"}}, "body"});
        const http_response expected{200, {{"X-A", "1"}}, "ok"};
        CPPUNIT_ASSERT(std::get<http_response>(result) == expected);
        CPPUNIT_ASSERT_EQUAL("PUT /a%20b?c=%2F HTTP/1.1\r\nHost: " + server.address().to_string() +
                                 "\r\nX-B: 2\r\nContent-Length: 4\r\n\r\nbody",
                             received);
    }

    // A response without a length is complete when the server closes the connection.
    void response_without_length_ends_with_the_connection()
    {
        const auto result = call_once("HTTP/1.1 200 OK\r\n\r\nall");
        CPPUNIT_ASSERT_EQUAL(std::string("all"), std::get<http_response>(result).body);
        const auto head = call_once("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HEAD");
        CPPUNIT_ASSERT_EQUAL(std::string(), std::get<http_response>(head).body);
    }

    // Guards against a call that never ends, and against reading its late response as that of the
    // next call.
    void silent_server_is_given_up()
    {
        test::raw_server server([](test::raw_peer& peer) { peer.wait_for_close(); });
        blocking_http_client client(server.address(), milliseconds(50));
        for (int n = 1; n <= 2; ++n) {
            const auto result = client.call({"GET", "/", {}, {}});
            CPPUNIT_ASSERT(std::holds_alternative<http_call_failed>(result));
            CPPUNIT_ASSERT(!std::get<http_call_failed>(result).not_sent);
            CPPUNIT_ASSERT_EQUAL(n, server.accepted());
        }
    }

    // Guards against reporting a call that may have had an effect as not sent.
    void only_a_refused_connection_sends_nothing()
    {
        vm_address address;
        {
            const test::raw_server server([](test::raw_peer&) {});
            address = server.address();
        }
        const auto result = blocking_http_client(address, timeout).call({"GET", "/", {}, {}});
        CPPUNIT_ASSERT(std::get<http_call_failed>(result).not_sent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(blocking_http_client_test);

} // namespace toucan
