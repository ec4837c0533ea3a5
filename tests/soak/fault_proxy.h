#pragma once

#include "asio.h"
#include "stream.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace toucan::soak {

/// What a proxy does with its connections.
enum class link_fault : std::uint8_t {
    none,
    /// Data arrives late.
    delay,
    /// Open connections are reset, and new ones too.
    reset,
    /// Nothing that the server sends arrives, for good on the connections that were open.
    mute_server,
    /// Nothing at all arrives, for good on the connections that were open.
    silent
};

/// Forwards TCP connections to a server on loopback and harms them on demand.
class fault_proxy {
public:
    fault_proxy(edge::asio::io_context& loop, const vm_address& listen, const vm_address& server);

    void set_fault(link_fault it);

private:
    struct link;

    void accept();
    void open(edge::tcp::socket socket);
    void pass(const std::shared_ptr<link>& it, std::string& in, bool from_server);

    edge::asio::io_context& loop_;
    edge::tcp::endpoint server_;
    edge::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<link>> links_;
    link_fault fault_ = link_fault::none;
};

} // namespace toucan::soak
