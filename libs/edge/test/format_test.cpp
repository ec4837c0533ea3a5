#include "http_message.h"
#include "peer_report.h"

#include "toucan/base/last_reason.h"
#include "toucan/edge/member_row.h"
#include "toucan/edge/routing_config.h"
#include "toucan/edge/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>
#include <string>

namespace toucan::edge {

/// Parsers of external input: invalid input must yield an error that names the cause and must not
/// crash the process.
class format_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(format_test);
    CPPUNIT_TEST(longest_prefix_is_selected);
    CPPUNIT_TEST(fragmented_request_is_parsed);
    CPPUNIT_TEST(ambiguous_lengths_are_rejected);
    CPPUNIT_TEST(oversized_headers_and_bodies_are_rejected);
    CPPUNIT_TEST(response_without_length_ends_with_the_connection);
    CPPUNIT_TEST(interim_response_is_skipped);
    CPPUNIT_TEST(hop_by_hop_headers_are_not_forwarded);
    CPPUNIT_TEST(cookie_is_found_among_others);
    CPPUNIT_TEST(peer_reports_round_trip_and_random_changes_do_not_crash);
    CPPUNIT_TEST(member_rows_round_trip_and_malformed_rows_are_rejected);
    CPPUNIT_TEST(settings_errors_name_the_field);
    CPPUNIT_TEST_SUITE_END();

    static route make_route(const std::string& name, const std::string& prefix)
    {
        route it;
        it.name = name;
        it.host = "a.example";
        it.prefix = prefix;
        return it;
    }

    static parse_state feed(std::string text, std::size_t max_header = 4096,
                            std::size_t max_body = 100)
    {
        request_reader reader(max_header, max_body);
        return reader.feed(text);
    }

    static const char* settings_text()
    {
        return R"([daemon]
name = "entry-1"
failure_domain = "west-a"
region = "west"
[listen]
callers = "10.0.0.1:1"
readiness = "10.0.0.1:2"
directory = "10.0.0.1:3"
peers = "10.0.0.1:4"
metrics = "10.0.0.1:5"
[store]
address = "10.0.0.9:9"
[regions]
west-a = "west"
east-a = "east"
[bounds]
stop_grace_s = 4.5
)";
    }

public:
    // The route with the longest prefix must be selected. A prefix must match only whole path
    // segments and must not match in the query.
    void longest_prefix_is_selected()
    {
        config_entries entries;
        entries.routes = {make_route("all", "/"), make_route("a", "/a/"),
                          make_route("ab", "/a/b/")};
        const routing_config config(3, std::move(entries));
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), config.find("a.example", "/a/b/c")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), config.find("a.example", "/a/bc/?x=/a/b/")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("all"), config.find("a.example", "/a")->name);
        CPPUNIT_ASSERT(config.find("b.example", "/a/") == nullptr);
        CPPUNIT_ASSERT(config.find("a.example", "a") == nullptr);
    }

    // A request that arrives byte by byte must be parsed as one that arrives at once.
    void fragmented_request_is_parsed()
    {
        const std::string text =
            "POST /a HTTP/1.1\r\nHost: h:80\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
        request_reader reader(4096, 100);
        std::string in;
        for (std::size_t it = 0; it < text.size(); ++it) {
            in.push_back(text[it]);
            const auto state = reader.feed(in);
            CPPUNIT_ASSERT(
                state == (it + 1 == text.size() ? parse_state::complete : parse_state::incomplete));
        }
        const auto request = reader.take();
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), request.request.body);
        CPPUNIT_ASSERT_EQUAL(std::string("h"), request.host);
    }

    // Request smuggling: parsers may disagree on the end of a message with conflicting or malformed
    // lengths, so such a message must be rejected.
    void ambiguous_lengths_are_rejected()
    {
        const std::string begin = "POST /a HTTP/1.1\r\nHost: h\r\n";
        for (const char* it : {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                               "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
                               "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                               "Content-Length: -1\r\n\r\n", "Content-Length: 3x\r\n\r\nabc",
                               "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"}) {
            CPPUNIT_ASSERT_MESSAGE(it, feed(begin + it) == parse_state::bad);
        }
    }

    // Requests above the header size limit must be rejected with 431, those above the body size
    // limit with 413.
    void oversized_headers_and_bodies_are_rejected()
    {
        request_reader reader(256, 100);
        std::string in =
            "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(400, 'x') + "\r\n\r\n";
        CPPUNIT_ASSERT(reader.feed(in) == parse_state::bad);
        CPPUNIT_ASSERT_EQUAL(431, reader.error_status());
        request_reader other(256, 100);
        in = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x');
        CPPUNIT_ASSERT(other.feed(in) == parse_state::bad);
        CPPUNIT_ASSERT_EQUAL(413, other.error_status());
    }

    // A response without a length ends with its connection. A response with Content-Length that
    // ends early must not count as complete.
    void response_without_length_ends_with_the_connection()
    {
        response_reader reader;
        std::string in = "HTTP/1.1 200 OK\r\n\r\npart";
        CPPUNIT_ASSERT(reader.feed(in) == parse_state::incomplete);
        CPPUNIT_ASSERT(reader.end() == parse_state::complete);
        const auto it = reader.take();
        CPPUNIT_ASSERT_EQUAL(std::string("part"), it.response.body);
        CPPUNIT_ASSERT(!it.keep_alive);
        reader.expect("GET");
        in = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
        CPPUNIT_ASSERT(reader.feed(in) == parse_state::incomplete);
        CPPUNIT_ASSERT(reader.end() == parse_state::bad);
    }

    // An interim (1xx) response must not be taken for the final response.
    void interim_response_is_skipped()
    {
        response_reader reader;
        std::string in = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\n"
                         "Keep-Alive: max=9, timeout=7\r\nContent-Length: 0\r\n\r\n";
        CPPUNIT_ASSERT(reader.feed(in) == parse_state::complete);
        const auto it = reader.take();
        CPPUNIT_ASSERT_EQUAL(201, it.response.status);
        CPPUNIT_ASSERT(it.keep_alive_timeout == std::chrono::seconds(7));
    }

    // Hop-by-hop headers, including those that the Connection header names, must not be forwarded
    // to another connection.
    void hop_by_hop_headers_are_not_forwarded()
    {
        request_reader reader(4096, 100);
        std::string in =
            "GET / HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
            "Connection: X-Second\r\nX-Second: 1\r\nTE: trailers\r\nX-Kept: 2\r\n\r\n";
        CPPUNIT_ASSERT(reader.feed(in) == parse_state::complete);
        const auto request = reader.take().request;
        CPPUNIT_ASSERT(find_header(request.headers, "x-hop").empty());
        CPPUNIT_ASSERT(find_header(request.headers, "x-second").empty());
        CPPUNIT_ASSERT(find_header(request.headers, "te").empty());
        CPPUNIT_ASSERT(find_header(request.headers, "x-kept") == "2");
    }

    // The object cookie must be found among other cookies and only under its full name, or requests
    // would be sent to servers that do not have the object cached.
    void cookie_is_found_among_others()
    {
        const std::vector<http_header> headers{{"Cookie", "a=1; Toucan-Object=17;b=2"}};
        CPPUNIT_ASSERT(find_cookie(headers, "Toucan-Object") == "17");
        CPPUNIT_ASSERT(find_cookie(headers, "Object").empty());
    }

    // A peer report must decode to the value that was encoded. Datagrams with random changes or cut
    // to a random length must not crash the decoder.
    void peer_reports_round_trip_and_random_changes_do_not_crash()
    {
        peer_report report;
        report.kind = report_kind::down;
        report.sender = 7;
        report.run = 1'700'000'000'000;
        report.number = 12;
        report.ready = true;
        report.load.add_backend(3, {1.5, 2});
        report.load.add_backend(9, {20, 1});
        report.load.add_requests(3, {17, 21, 4});
        report.load.add_demand({11, 4}, 2.5);
        report.load.add_workspace(5, {120, 30.25, 3});
        report.has_workspaces = true;
        report.members = {{21, milliseconds(120), true}, {22, milliseconds(0), false}};
        report.contained = {{21, 40}};
        report.rate_limits = {{3, 4.5, milliseconds(250)}};
        report.store = {{{5, milliseconds(120), 3}, {6, milliseconds(0), 2}}, {3, 5}, {8}};
        const auto decoded = decode_peer_report(encode(report));
        CPPUNIT_ASSERT(decoded && *decoded == report);
        constexpr unsigned seed = 20261204;
        std::cout << "[edge] random datagrams seed " << seed << '\n';
        std::mt19937 random(seed);
        for (int step = 0; step < 3000; ++step) {
            auto bytes = encode(report);
            for (unsigned n = 0; n < 1 + random() % 4; ++n) {
                bytes[random() % bytes.size()] = static_cast<char>(random());
            }
            bytes.resize(random() % (bytes.size() + 1));
            decode_peer_report(bytes); // must not crash
        }
    }

    // A member row must decode to the value that was encoded. Malformed rows in the table must be
    // rejected with a reason.
    void member_rows_round_trip_and_malformed_rows_are_rejected()
    {
        member_record it;
        it.name = "entry-1";
        it.callers = *vm_address::parse("10.0.0.1:80");
        it.peers = *vm_address::parse("10.0.0.1:81");
        it.failure_domain = failure_domain_name("west-a");
        it.region = region_name("west");
        it.run = 12;
        it.state = member_state::leaving;
        const auto decoded =
            decode_member(member_key(it.failure_domain, it.name), encode_member(it));
        CPPUNIT_ASSERT(decoded && *decoded == it);
        for (const char* bad :
             {"", "{}", "[1,2]", "{\"callers\":5}", "{\"callers\":\"x\"", "null"}) {
            CPPUNIT_ASSERT(!decode_member("west-a/entry-1", bad));
            CPPUNIT_ASSERT(!last_reason().empty());
        }
        CPPUNIT_ASSERT(!decode_member("entry-1", encode_member(it)));
        CPPUNIT_ASSERT(!decode_member("west-a/", encode_member(it)));
    }

    // A process must not start with incomplete or invalid settings, and the error must name the
    // field for the operator.
    void settings_errors_name_the_field()
    {
        const auto good = parse_settings(settings_text());
        CPPUNIT_ASSERT(good);
        CPPUNIT_ASSERT(good->limits.stop_grace == milliseconds(4500));
        CPPUNIT_ASSERT(good->regions.at(failure_domain_name("east-a")) == region_name("east"));
        std::string text = settings_text();
        text.replace(text.find("10.0.0.1:3"), 10, "10.0.0.1");
        CPPUNIT_ASSERT(!parse_settings(text));
        CPPUNIT_ASSERT(last_reason().find("listen.directory") != std::string::npos);
        text = std::string(settings_text()) + "retry_ratio = \"much\"\n";
        CPPUNIT_ASSERT(!parse_settings(text));
        CPPUNIT_ASSERT(last_reason().find("retry_ratio") != std::string::npos);
        CPPUNIT_ASSERT(!parse_settings("") && !parse_settings("= = ="));
        CPPUNIT_ASSERT(!read_settings_file("/nowhere/settings.toml"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(format_test);

} // namespace toucan::edge
