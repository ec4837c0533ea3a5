#include "toucan/base/blocking_http_client.h"

#include "toucan/base/response_reader.h"

// GCC 12 needs <utility> before the Asio headers of Boost 1.74.
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <cstdint>

namespace toucan {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using error_code = boost::system::error_code;

/// Ends a body without end; longer than any object or page of the platform.
constexpr std::uint64_t max_body_bytes = 256U << 20U;

response_limits make_limits()
{
    response_limits it;
    it.max_body_bytes = max_body_bytes;
    return it;
}

http::request<http::string_body> to_message(const http_request& it, const std::string& host)
{
    constexpr unsigned http_1_1 = 11;
    http::request<http::string_body> message;
    message.version(http_1_1);
    message.method_string(it.method);
    message.target(it.path);
    message.set(http::field::host, host);
    for (const auto& header : it.headers) {
        message.insert(header.name, header.value);
    }
    message.body() = it.body;
    message.prepare_payload();
    return message;
}

} // namespace

class blocking_http_client::connection {
public:
    connection(const vm_address& server, std::chrono::milliseconds timeout)
        : server_(server), timeout_(timeout), reader_(make_limits())
    {
    }

    result call(const http_request& request)
    {
        if (const auto ec = ensure_open()) {
            return http_call_failed{"connect: " + ec.message(), true};
        }
        const auto message = to_message(request, server_.to_string());
        reader_.expect(request.method);
        const auto sent = wait([&](auto done) { http::async_write(stream_, message, done); });
        if (sent) {
            close();
            return http_call_failed{"send: " + sent.message()};
        }
        auto it = read_response();
        if (std::holds_alternative<http_call_failed>(it)) {
            close();
        }
        return it;
    }

private:
    /// Starts an operation and waits for its end.
    template <typename Start>
    error_code wait(Start start)
    {
        error_code out;
        stream_.expires_after(timeout_);
        start([&](error_code ec, auto... /*bytes*/) { out = ec; });
        loop_.restart();
        loop_.run();
        return out;
    }

    /// Whether the idle connection is open and has no bytes, which would belong to no call.
    bool is_reusable()
    {
        if (!open_) {
            return false;
        }
        error_code ec;
        char byte = 0;
        stream_.socket().non_blocking(true, ec);
        stream_.socket().read_some(asio::buffer(&byte, 1), ec);
        return ec == asio::error::would_block;
    }

    error_code ensure_open()
    {
        if (is_reusable()) {
            return {};
        }
        close();
        const asio::ip::tcp::endpoint to(asio::ip::address_v4(server_.ip()), server_.port());
        const auto ec = wait([&](auto done) { stream_.async_connect(to, done); });
        if (ec) {
            close();
            return ec;
        }
        open_ = true;
        error_code ignored;
        stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        return {};
    }

    void close()
    {
        open_ = false;
        stream_.close();
    }

    result read_response()
    {
        constexpr std::size_t max_read_bytes = 16384;
        std::array<char, max_read_bytes> buf{};
        std::string received;
        while (true) {
            std::size_t n = 0;
            const auto ec = wait([&](auto done) {
                stream_.async_read_some(asio::buffer(buf),
                                        [&n, done](error_code it, std::size_t bytes) {
                                            n = bytes;
                                            done(it);
                                        });
            });
            if (ec) {
                return end_of_data(ec);
            }
            received.append(buf.data(), n);
            const auto state = reader_.feed(received);
            if (state == parse_state::bad) {
                return http_call_failed{reader_.error_reason(), false, reader_.fault()};
            }
            if (state == parse_state::complete) {
                return take_response(received.empty());
            }
        }
    }

    result take_response(bool reusable)
    {
        auto it = reader_.take();
        if (!reusable || !it.keep_alive) {
            close();
        }
        return std::move(it.response);
    }

    result end_of_data(const error_code& ec)
    {
        if (ec == asio::error::eof && reader_.end() == parse_state::complete) {
            return take_response(false);
        }
        http_call_failed it{"receive: " + ec.message()};
        if (ec != beast::error::timeout && reader_.started()) {
            it.fault = response_fault::early_end;
        }
        return it;
    }

    vm_address server_;
    std::chrono::milliseconds timeout_;
    asio::io_context loop_{1};
    beast::tcp_stream stream_{loop_};
    response_reader reader_;
    bool open_ = false;
};

blocking_http_client::blocking_http_client(const vm_address& server,
                                           std::chrono::milliseconds timeout)
    : connection_(std::make_unique<connection>(server, timeout))
{
}

blocking_http_client::~blocking_http_client() = default;

blocking_http_client::result blocking_http_client::call(const http_request& request)
{
    return connection_->call(request);
}

} // namespace toucan
