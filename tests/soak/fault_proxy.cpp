#include "fault_proxy.h"

#include <utility>

namespace toucan::soak {

namespace {

constexpr std::chrono::milliseconds link_delay{150};

} // namespace

/// Accepted connection of a client and the connection to the server that belongs to it.
struct fault_proxy::link {
    std::shared_ptr<edge::stream> client;
    std::shared_ptr<edge::stream> server;
    /// Data from this side was dropped. Later data is dropped too, because the stream has a gap.
    bool client_data_dropped = false;
    bool server_data_dropped = false;
    /// Delayed writes that are still pending. Later data is delayed as well, so that it does
    /// not overtake them.
    int delayed_writes = 0;
};

fault_proxy::fault_proxy(edge::asio::io_context& loop, const vm_address& listen,
                         const vm_address& server)
    : loop_(loop), server_(edge::tcp_endpoint(server)),
      acceptor_(loop, edge::tcp_endpoint(listen), true)
{
    accept();
}

void fault_proxy::accept()
{
    acceptor_.async_accept([this](edge::error_code ec, edge::tcp::socket socket) {
        if (ec == edge::asio::error::operation_aborted) {
            return;
        }
        if (!ec && fault_ != link_fault::reset) {
            open_link(std::move(socket));
        }
        accept();
    });
}

void fault_proxy::open_link(edge::tcp::socket socket)
{
    const auto it = std::make_shared<link>();
    it->client = std::make_shared<edge::stream>(std::move(socket));
    edge::tcp::socket to_server(loop_);
    edge::error_code ec;
    // The server is on loopback, so that connect succeeds or fails without blocking for long.
    to_server.connect(server_, ec);
    if (ec) {
        it->client->close();
        return;
    }
    it->server = std::make_shared<edge::stream>(std::move(to_server));
    std::erase_if(links_, [](const auto& known) { return known.expired(); });
    links_.push_back(it);
    it->client->start({[this, it](std::string& in) { forward(it, in, false); },
                       [it](edge::stream::ending how) {
                           how == edge::stream::ending::reset ? it->server->close()
                                                              : it->server->finish();
                       }});
    it->server->start({[this, it](std::string& in) { forward(it, in, true); },
                       [it](edge::stream::ending how) {
                           if (!it->server_data_dropped) {
                               how == edge::stream::ending::reset ? it->client->close()
                                                                  : it->client->finish();
                           }
                       }});
}

void fault_proxy::forward(const std::shared_ptr<link>& it, std::string& in, bool from_server)
{
    auto data = std::exchange(in, {});
    auto& dropped = from_server ? it->server_data_dropped : it->client_data_dropped;
    dropped = dropped || fault_ == link_fault::drop_all_data ||
              (from_server && fault_ == link_fault::drop_server_data);
    if (dropped) {
        return;
    }
    const auto& to = from_server ? it->client : it->server;
    if (fault_ != link_fault::delay && it->delayed_writes == 0) {
        to->write(std::move(data));
        return;
    }
    const auto timer = std::make_shared<edge::asio::steady_timer>(loop_, link_delay);
    ++it->delayed_writes;
    timer->async_wait([timer, it, to, data = std::move(data)](edge::error_code) mutable {
        --it->delayed_writes;
        if (to->open()) {
            to->write(std::move(data));
        }
    });
}

void fault_proxy::set_fault(link_fault it)
{
    fault_ = it;
    if (it != link_fault::reset) {
        return;
    }
    for (const auto& weak : links_) {
        if (const auto known = weak.lock()) {
            known->client->close();
            known->server->close();
        }
    }
}

} // namespace toucan::soak
