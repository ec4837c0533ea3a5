#include "fault_proxy.h"

#include "toucan/base/vm_address.h"

#include <boost/asio/read.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace toucan::soak {

/// A proxy with a delay delivers data and ends of connections late and in order.
class fault_proxy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fault_proxy_test);
    CPPUNIT_TEST(request_crosses_the_end_of_the_other_direction);
    CPPUNIT_TEST_SUITE_END();

    using milliseconds = std::chrono::milliseconds;
    using tcp = edge::tcp;

    static vm_address address_of(const tcp::acceptor& it)
    {
        return {0x7f000001U, it.local_endpoint().port()};
    }

public:
    // Guards against a proxy that closes both directions at once: a request that crosses the close
    // of its connection would be lost in the proxy, and the soak would not see the daemon lose it.
    void request_crosses_the_end_of_the_other_direction()
    {
        constexpr milliseconds delay{50};
        edge::asio::io_context loop;
        tcp::acceptor server(loop, edge::tcp_endpoint({0x7f000001U, 0}));
        tcp::acceptor free_port(loop, edge::tcp_endpoint({0x7f000001U, 0}));
        const auto listen = address_of(free_port);
        free_port.close();
        fault_proxy proxy(loop, listen, address_of(server), delay);
        tcp::socket client(loop);
        client.connect(edge::tcp_endpoint(listen));
        tcp::socket accepted(loop);
        server.async_accept(accepted, [](edge::error_code) {});
        loop.run_for(milliseconds(20));

        const auto start = std::chrono::steady_clock::now();
        edge::asio::write(accepted, edge::asio::buffer(std::string("last")));
        accepted.shutdown(tcp::socket::shutdown_send);
        edge::asio::write(client, edge::asio::buffer(std::string("request")));
        std::string at_server;
        std::string at_client;
        std::chrono::steady_clock::time_point ended;
        edge::asio::async_read(accepted, edge::asio::dynamic_buffer(at_server, 7),
                               [](edge::error_code, std::size_t) {});
        edge::asio::async_read(client, edge::asio::dynamic_buffer(at_client),
                               [&](edge::error_code ec, std::size_t) {
                                   CPPUNIT_ASSERT(ec == edge::asio::error::eof);
                                   ended = std::chrono::steady_clock::now();
                               });
        loop.run_for(milliseconds(500));

        CPPUNIT_ASSERT_EQUAL(std::string("request"), at_server);
        CPPUNIT_ASSERT_EQUAL(std::string("last"), at_client);
        CPPUNIT_ASSERT(ended - start >= delay);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_proxy_test);

} // namespace toucan::soak
