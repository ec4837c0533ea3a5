#pragma once

#include "asio.h"
#include "toucan/base/vm_address.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace toucan::soak {

/// Fault that a proxy applies to its connections.
enum class link_fault : std::uint8_t {
    none,
    /// Data of both directions is delivered 150 ms late.
    delay,
    /// Open connections are closed at once, and new ones when they are accepted.
    reset,
    /// Data from the server is dropped. A connection that lost data delivers nothing more from the
    /// server, also after the fault has ended.
    drop_server_data,
    /// Data of both directions is dropped. A direction of a connection that lost data delivers
    /// nothing more, also after the fault has ended.
    drop_all_data
};

/// Forwards TCP connections to a server on loopback, optionally with a fixed delay, and injects
/// faults into them. The two directions of a connection end separately.
class fault_proxy {
public:
    /// Listens at once.
    /// @param server address to which each accepted connection is forwarded.
    /// @param delay time by which data, and the end of each direction, is delivered late.
    fault_proxy(edge::asio::io_context& loop, const vm_address& listen, const vm_address& server,
                std::chrono::milliseconds delay = {});

    /// Replaces the present fault. link_fault::reset also closes all open connections.
    void set_fault(link_fault it);

private:
    struct link;
    class direction;

    void accept();
    void open_link(edge::tcp::socket socket);
    /// Time by which data that is received now is delivered late.
    [[nodiscard]] std::chrono::milliseconds present_delay() const;
    /// Whether data that is received now is dropped.
    [[nodiscard]] bool drops_data(bool from_server) const;

    edge::asio::io_context& loop_;
    edge::tcp::endpoint server_;
    edge::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<link>> links_;
    std::chrono::milliseconds delay_;
    link_fault fault_ = link_fault::none;
};

} // namespace toucan::soak
