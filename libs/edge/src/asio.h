#pragma once

// GCC 12 needs <utility> before the Asio headers of Boost 1.74.
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "toucan/base/vm_address.h"

namespace toucan::edge {

namespace asio = boost::asio;
using error_code = boost::system::error_code;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

inline tcp::endpoint tcp_endpoint(const vm_address& it)
{
    return {asio::ip::address_v4(it.ip()), it.port()};
}

inline udp::endpoint udp_endpoint(const vm_address& it)
{
    return {asio::ip::address_v4(it.ip()), it.port()};
}

} // namespace toucan::edge
