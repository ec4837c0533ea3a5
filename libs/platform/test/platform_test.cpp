#include "raw_server.h"

#include "toucan/base/content_hash.h"
#include "toucan/base/last_reason.h"
#include "toucan/platform/http_object_store.h"
#include "toucan/platform/http_table_service.h"
#include "toucan/platform/http_vm_list.h"
#include "toucan/platform/memory_platform.h"
#include "toucan/platform/vm_list_text.h"

#include <httplib.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <iostream>
#include <random>
#include <string>
#include <thread>
#include <variant>

namespace toucan::platform {

namespace {

constexpr std::chrono::milliseconds timeout{300};

/// HTTP server that sends a fixed response and records the last request.
class fixed_response_server {
public:
    fixed_response_server()
    {
        const auto handle = [this](const httplib::Request& request, httplib::Response& response) {
            path = request.target;
            body = request.body;
            expected_revision = request.get_header_value("Toucan-Expected-Revision");
            response.status = status;
            if (!revision.empty()) {
                response.set_header("Toucan-Revision", revision);
            }
            response.set_content(answer, "application/octet-stream");
        };
        server_.Get(".*", handle);
        server_.Put(".*", handle);
        server_.set_tcp_nodelay(true);
        port_ = static_cast<std::uint16_t>(server_.bind_to_any_port("127.0.0.1"));
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        while (!server_.is_running()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
    fixed_response_server(const fixed_response_server&) = delete;
    fixed_response_server& operator=(const fixed_response_server&) = delete;
    ~fixed_response_server()
    {
        server_.stop();
        thread_.join();
    }

    [[nodiscard]] vm_address address() const
    {
        return *vm_address::parse("127.0.0.1:" + std::to_string(port_));
    }

    int status = 200;
    std::string revision;
    std::string answer;
    std::string path;
    std::string body;
    std::string expected_revision;

private:
    httplib::Server server_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

/// TCP listener that never replies. It either closes the first connection after one read, or
/// accepts none; the kernel still completes the TCP handshakes.
class silent_server {
public:
    explicit silent_server(bool close_connections) : fd_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(name);
        auto* generic = reinterpret_cast<sockaddr*>(&name);
        CPPUNIT_ASSERT(fd_ >= 0 && bind(fd_, generic, length) == 0 && listen(fd_, 8) == 0 &&
                       getsockname(fd_, generic, &length) == 0);
        port_ = ntohs(name.sin_port);
        if (close_connections) {
            thread_ = std::thread([this] {
                const int it = accept(fd_, nullptr, nullptr);
                std::string buf(4096, ' ');
                [[maybe_unused]] const auto n = recv(it, buf.data(), buf.size(), 0);
                close(it);
            });
        }
    }
    silent_server(const silent_server&) = delete;
    silent_server& operator=(const silent_server&) = delete;
    ~silent_server()
    {
        if (thread_.joinable()) {
            thread_.join();
        }
        close(fd_);
    }

    [[nodiscard]] vm_address address() const { return {INADDR_LOOPBACK, port_}; }

private:
    int fd_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

} // namespace

class platform_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_test);
    CPPUNIT_TEST(table_read_results);
    CPPUNIT_TEST(table_write_results);
    CPPUNIT_TEST(lost_reply_reports_write_unknown);
    CPPUNIT_TEST(refused_connection_reports_write_refused);
    CPPUNIT_TEST(broken_response_is_not_believed);
    CPPUNIT_TEST(bytes_behind_a_response_are_no_response);
    CPPUNIT_TEST(sound_response_is_read);
    CPPUNIT_TEST(objects_are_verified_by_hash);
    CPPUNIT_TEST(vm_list_is_decoded);
    CPPUNIT_TEST(vm_list_decoder_accepts_any_input);
    CPPUNIT_TEST(memory_platform_injects_faults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against treating a failed read as an absent row, and against unescaped keys in the
    // path.
    void table_read_results()
    {
        fixed_response_server server;
        http_table_service table(server.address(), timeout);
        server.revision = "7";
        server.answer = "value";
        const auto row = table.read("claim/desk/c1-1-a b");
        if (const auto* failed = std::get_if<read_failed>(&row)) {
            CPPUNIT_FAIL("read failed: " + failed->reason);
        }
        CPPUNIT_ASSERT(std::get<table_row>(row) == (table_row{"value", 7}));
        CPPUNIT_ASSERT_EQUAL(std::string("/table/claim%2Fdesk%2Fc1-1-a%20b"), server.path);
        server.status = 404;
        CPPUNIT_ASSERT(std::holds_alternative<row_absent>(table.read("head")));
        server.status = 503;
        CPPUNIT_ASSERT(std::holds_alternative<read_failed>(table.read("head")));
        server.status = 200;
        server.revision.clear();
        CPPUNIT_ASSERT(std::holds_alternative<read_failed>(table.read("head")));
    }

    // Guards against mapping a status to the wrong write result: 500 leaves the outcome open, 503
    // does not.
    void table_write_results()
    {
        fixed_response_server server;
        http_table_service table(server.address(), timeout);
        server.revision = "8";
        auto result = table.compare_and_set("head", 7, "next");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, std::get<write_applied>(result).revision);
        CPPUNIT_ASSERT_EQUAL(std::string("next"), server.body);
        CPPUNIT_ASSERT_EQUAL(std::string("7"), server.expected_revision);
        server.status = 412;
        server.answer = "other";
        result = table.compare_and_set("head", 7, "next");
        CPPUNIT_ASSERT(std::get<write_conflict>(result).present == (table_row{"other", 8}));
        server.revision = "0";
        result = table.compare_and_set("head", 7, "next");
        CPPUNIT_ASSERT(!std::get<write_conflict>(result).present);
        server.status = 503;
        result = table.compare_and_set("head", 7, "next");
        CPPUNIT_ASSERT(std::holds_alternative<write_refused>(result));
        server.status = 500;
        result = table.compare_and_set("head", 7, "next");
        CPPUNIT_ASSERT(std::holds_alternative<write_unknown>(result));
    }

    // If the connection fails after the request was sent, the write must not be reported as
    // refused: it may have taken effect, and only its reply may be lost.
    void lost_reply_reports_write_unknown()
    {
        for (const bool close_connections : {true, false}) {
            const silent_server server(close_connections);
            http_table_service table(server.address(), timeout);
            CPPUNIT_ASSERT(
                std::holds_alternative<write_unknown>(table.compare_and_set("head", 0, "x")));
        }
    }

    // Guards against reporting an outcome as unknown if nothing was sent.
    void refused_connection_reports_write_refused()
    {
        vm_address address;
        {
            const silent_server server(false);
            address = server.address();
        }
        http_table_service table(address, timeout);
        CPPUNIT_ASSERT(
            std::holds_alternative<write_refused>(table.compare_and_set("head", 0, "x")));
        CPPUNIT_ASSERT(std::holds_alternative<read_failed>(table.read("head")));
        CPPUNIT_ASSERT(!http_vm_list(address, timeout).fetch());
    }

    // Guards against believing a response that is not valid HTTP: a broken 404 would hide a row, a
    // broken 200 could hold a part of a row, a broken 503 or 412 would say that a write had no
    // effect.
    void broken_response_is_not_believed()
    {
        const std::string fields = "Toucan-Revision: 7\r\nContent-Length: 2\r\n";
        const std::string row = "HTTP/1.1 200 OK\r\nToucan-Revision: 7\r\n";
        std::vector<std::string> broken = {
            "HTTP/1.1 000 OK\r\n" + fields + "\r\nok",
            "HTTP/1.1 600 OK\r\n" + fields + "\r\nok",
            "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "\r\nok",
            row + "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
            row + "Transfer-Encoding: chunked\r\n\r\n2x\r\nok\r\n0\r\n\r\n",
            row + "Content-Length: 2, 3\r\n\r\nok",
        };
        for (const auto* status : {"200 OK", "404 Not Found", "412 Conflict", "503 Busy"}) {
            for (const std::string line : {"X Y: 1", "X : 1", " X: 1", "X\001: 1", "X\177: 1",
                                           "X\200: 1", ": 1", "X", "X: a\001", "X: a\nY: b"}) {
                broken.push_back(
                    fmt::format("HTTP/1.1 {}\r\n{}{}\r\n\r\nok", status, fields, line));
            }
        }
        std::string believed;
        for (const auto& it : broken) {
            test::raw_server server([&it](test::raw_peer& peer) {
                while (!peer.read_request().empty()) {
                    peer.write(it);
                }
            });
            std::size_t reported = 0;
            http_table_service table(server.address(), timeout,
                                     [&](response_fault, const std::string&) { ++reported; });
            const bool sound =
                std::holds_alternative<read_failed>(table.read("head")) &&
                std::holds_alternative<write_unknown>(table.compare_and_set("head", 7, "x")) &&
                !http_object_store(server.address(), timeout).get(content_hash("ok")) &&
                !http_vm_list(server.address(), timeout).fetch() && reported == 2;
            believed += sound ? "" : "\n---\n" + it;
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), believed);
    }

    // Guards against reading bytes behind a response as the response to the next call.
    void bytes_behind_a_response_are_no_response()
    {
        const std::string answer =
            "HTTP/1.1 200 OK\r\nToucan-Revision: 7\r\nContent-Length: 2\r\n\r\nok";
        test::raw_server server([&](test::raw_peer& peer) {
            while (!peer.read_request().empty()) {
                peer.write(answer + "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            }
        });
        http_table_service table(server.address(), timeout);
        for (int n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT(std::holds_alternative<table_row>(table.read("head")));
        }
    }

    // Guards against checks that also reject responses that are allowed, and against a new
    // connection for each call.
    void sound_response_is_read()
    {
        const std::string fields =
            "Toucan-Revision: 7\r\n!#$%&'*+-.^_`|~: a\tb\200\r\nX-Empty:\r\n";
        for (const std::string& rest :
             {fields + "Content-Length: 2\r\n\r\nok",
              fields +
                  "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX-After: 1\r\n\r\n"}) {
            test::raw_server server([&](test::raw_peer& peer) {
                while (!peer.read_request().empty()) {
                    peer.write("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 \r\n" + rest);
                }
            });
            http_table_service table(server.address(), timeout);
            for (int n = 0; n < 3; ++n) {
                const auto row = table.read("head");
                CPPUNIT_ASSERT_MESSAGE(rest, std::holds_alternative<table_row>(row));
                CPPUNIT_ASSERT(std::get<table_row>(row) == (table_row{"ok", 7}));
            }
            CPPUNIT_ASSERT_EQUAL(1, server.accepted());
        }
        for (const bool closes : {true, false}) {
            test::raw_server server([&](test::raw_peer& peer) {
                peer.read_request();
                peer.write(
                    "HTTP/1.1 200 OK\r\n" + fields +
                    (closes ? "Connection: close\r\nContent-Length: 2\r\n\r\nok" : "\r\nok"));
            });
            http_table_service table(server.address(), timeout);
            for (int n = 0; n < 3; ++n) {
                CPPUNIT_ASSERT(std::holds_alternative<table_row>(table.read("head")));
            }
        }
    }

    // Guards against returning damaged content, and against hiding the status of a rejected write.
    void objects_are_verified_by_hash()
    {
        fixed_response_server server;
        http_object_store objects(server.address(), timeout);
        server.answer = "content";
        const auto hash = content_hash("content");
        CPPUNIT_ASSERT(objects.get(hash) == "content");
        CPPUNIT_ASSERT_EQUAL("/objects/" + hash, server.path);
        server.answer = "damaged";
        CPPUNIT_ASSERT(!objects.get(hash));
        CPPUNIT_ASSERT(objects.put(hash, "content"));
        server.status = 503;
        CPPUNIT_ASSERT(!objects.put(hash, "content"));
        CPPUNIT_ASSERT(last_reason().find("503") != std::string::npos);
    }

    // Guards against lost fields of VM list entries and against accepting unknown roles.
    void vm_list_is_decoded()
    {
        fixed_response_server server;
        server.answer = R"([{"role":"backend","address":"127.0.0.1:80","failure_domain":"a",
                             "leaving":true}])";
        const auto list = http_vm_list(server.address(), timeout).fetch();
        CPPUNIT_ASSERT(list && list->size() == 1);
        const vm_entry expected{
            vm_role::backend, {INADDR_LOOPBACK, 80}, failure_domain_name("a"), true};
        CPPUNIT_ASSERT(list->at(0) == expected);
        CPPUNIT_ASSERT(decode_vm_list(encode_vm_list(*list)) == list);
        CPPUNIT_ASSERT(!decode_vm_list(R"([{"role":"other","address":"127.0.0.1:80",
                                            "failure_domain":"a","leaving":true}])"));
    }

    // Guards against a crash on a malformed VM list.
    void vm_list_decoder_accepts_any_input()
    {
        constexpr unsigned seed = 51;
        std::cout << " [seed " << seed << "]";
        const auto valid =
            encode_vm_list({{vm_role::entry, {1, 2}, failure_domain_name("a"), false},
                            {vm_role::backend, {3, 4}, failure_domain_name("b"), true}});
        std::mt19937 random(seed);
        int decoded = 0;
        for (int round = 0; round < 20'000; ++round) {
            auto text = valid;
            for (auto edits = random() % 4; edits > 0 && !text.empty(); --edits) {
                if (random() % 2 == 0) {
                    text[random() % text.size()] = static_cast<char>(random() % 256);
                }
                else {
                    text.erase(random() % text.size(), random() % 30);
                }
            }
            decoded += decode_vm_list(text) ? 1 : 0;
        }
        CPPUNIT_ASSERT(decoded > 0);
    }

    // Guards against fault injection without an effect: tests that rely on it would then pass
    // wrongly.
    void memory_platform_injects_faults()
    {
        memory_platform platform;
        using fault = memory_platform::write_fault;
        CPPUNIT_ASSERT(
            std::holds_alternative<write_applied>(platform.compare_and_set("k", 0, "a")));
        platform.set_stale_reads(true);
        platform.set_write_fault(fault::lost_reply, 1);
        CPPUNIT_ASSERT(
            std::holds_alternative<write_unknown>(platform.compare_and_set("k", 1, "b")));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), std::get<table_row>(platform.read("k")).value);
        platform.set_stale_reads(false);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), std::get<table_row>(platform.read("k")).value);
        platform.set_write_fault(fault::late_request, 1);
        platform.compare_and_set("k", 2, "c");
        CPPUNIT_ASSERT_EQUAL(std::string("b"), std::get<table_row>(platform.read("k")).value);
        platform.deliver_late_writes();
        CPPUNIT_ASSERT_EQUAL(std::string("c"), std::get<table_row>(platform.read("k")).value);
        platform.set_outage(true);
        CPPUNIT_ASSERT(
            std::holds_alternative<write_refused>(platform.compare_and_set("k", 3, "d")));
        CPPUNIT_ASSERT(!platform.fetch());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_test);

} // namespace toucan::platform
