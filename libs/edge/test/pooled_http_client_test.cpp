#include "http_server.h"
#include "pooled_http_client.h"
#include "request_path_fixture.h"

#include "toucan/base/system_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <functional>
#include <memory>
#include <vector>

namespace toucan::edge {

/// A client and a server that answers, or holds its answers back.
class pooled_http_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pooled_http_client_test);
    CPPUNIT_TEST(idle_connections_are_not_used_after_one_went_silent);
    CPPUNIT_TEST(broken_response_of_the_store_is_reported_and_not_used);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context loop_{1};
    system_clock time_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<pooled_http_client> client_;
    std::vector<http_server::respond> held_;
    bool silent_ = false;
    int answers_ = 0;
    int timeouts_ = 0;

    void send(milliseconds limit)
    {
        client_->send({"GET", "/", {}, {}}, limit,
                      [this](const http_result& it) { ++(it.response ? answers_ : timeouts_); });
    }

    bool run_until(const std::function<bool()>& done)
    {
        const auto end = time_.now() + milliseconds(3000);
        while (!done() && time_.now() < end) {
            loop_.restart();
            loop_.run_for(milliseconds(5));
        }
        return done();
    }

public:
    void setUp() override
    {
        tcp::acceptor probe(loop_, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        const auto address =
            *vm_address::parse(fmt::format("127.0.0.1:{}", probe.local_endpoint().port()));
        probe.close();
        server_ = std::make_unique<http_server>(
            loop_, time_,
            [this](const parsed_request&, const http_server::respond& respond) {
                if (silent_) {
                    held_.push_back(respond);
                }
                else {
                    respond({200, {}, "ok"});
                }
                return http_server::cancel{};
            },
            [] { return caller_limits{}; });
        CPPUNIT_ASSERT(server_->listen(address));
        client_ = std::make_unique<pooled_http_client>(loop_, time_, address);
    }

    void tearDown() override
    {
        server_->close_all();
        loop_.stop();
    }

    // Guards against calls that time out one after the other because the pool hands out connections
    // that went silent together with the first one.
    void idle_connections_are_not_used_after_one_went_silent()
    {
        for (int n = 0; n < 3; ++n) {
            send(milliseconds(2000));
        }
        CPPUNIT_ASSERT(run_until([&] { return answers_ == 3; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, server_->sessions());
        silent_ = true;
        send(milliseconds(100));
        CPPUNIT_ASSERT(run_until([&] { return timeouts_ == 1; }));
        CPPUNIT_ASSERT(run_until([&] { return server_->sessions() == 0; }));
        silent_ = false;
        send(milliseconds(2000));
        CPPUNIT_ASSERT(run_until([&] { return answers_ == 4; }));
    }

    // Guards against using a response of the store or of another daemon that is not valid HTTP: a
    // broken 200 would be taken for rows, a broken 503 for a call that had no effect.
    void broken_response_of_the_store_is_reported_and_not_used()
    {
        const std::string length = "Content-Length: 2\r\n";
        const std::vector<std::pair<std::string, response_fault>> broken = {
            {"HTTP/1.1 000 OK\r\n" + length + "\r\nok", response_fault::status},
            {"HTTP/1.1 600 OK\r\n" + length + "\r\nok", response_fault::status},
            {"HTTP/1.1 200 OK\r\nStore Era: 3\r\n" + length + "\r\nok", response_fault::head},
            {"HTTP/1.1 503 No\r\nStore\001Era: 3\r\n" + length + "\r\nok", response_fault::head},
            {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", response_fault::head},
            {"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok", response_fault::framing},
        };
        for (const auto& [bytes, fault] : broken) {
            scripted_backend store(loop_, "store", [&, bytes = bytes](const parsed_request&) {
                return scripted_backend::reaction{bytes, {}, false};
            });
            std::vector<response_fault> faults;
            pooled_http_client client(
                loop_, time_, store.address(),
                [&](response_fault it, const std::string& /*reason*/) { faults.push_back(it); });
            std::optional<http_result> result;
            client.send({"GET", "/", {}, {}}, milliseconds(2000),
                        [&](const http_result& it) { result = it; });
            CPPUNIT_ASSERT_MESSAGE(bytes, run_until([&] { return result.has_value(); }));
            CPPUNIT_ASSERT_MESSAGE(bytes, !result->response && !result->reason.empty());
            CPPUNIT_ASSERT_MESSAGE(bytes, faults == std::vector<response_fault>{fault});
            store.stop();
            run_until([&] { return store.closed() == 1; });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pooled_http_client_test);

} // namespace toucan::edge
