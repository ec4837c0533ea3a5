#include "fault_proxy.h"

#include <utility>

namespace toucan::soak {

namespace {

constexpr std::chrono::milliseconds link_delay{150};

} // namespace

/// A connection of a client with the one to the server.
struct fault_proxy::link {
    std::shared_ptr<edge::stream> client;
    std::shared_ptr<edge::stream> server;
    /// Data was dropped in a direction: what comes later would not fit.
    bool client_muted = false;
    bool server_muted = false;
    /// Pieces of data that are held back; what follows them must not overtake them.
    int delayed = 0;
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
            open(std::move(socket));
        }
        accept();
    });
}

void fault_proxy::open(edge::tcp::socket socket)
{
    const auto it = std::make_shared<link>();
    it->client = std::make_shared<edge::stream>(std::move(socket));
    edge::tcp::socket to_server(loop_);
    edge::error_code ec;
    // The server is on loopback: the connection is made or refused at once.
    to_server.connect(server_, ec);
    if (ec) {
        it->client->close();
        return;
    }
    it->server = std::make_shared<edge::stream>(std::move(to_server));
    std::erase_if(links_, [](const auto& known) { return known.expired(); });
    links_.push_back(it);
    it->client->start({[this, it](std::string& in) { pass(it, in, false); },
                       [it](edge::stream::ending how) {
                           how == edge::stream::ending::reset ? it->server->close()
                                                              : it->server->finish();
                       }});
    it->server->start({[this, it](std::string& in) { pass(it, in, true); },
                       [it](edge::stream::ending how) {
                           if (!it->server_muted) {
                               how == edge::stream::ending::reset ? it->client->close()
                                                                  : it->client->finish();
                           }
                       }});
}

void fault_proxy::pass(const std::shared_ptr<link>& it, std::string& in, bool from_server)
{
    auto data = std::exchange(in, {});
    auto& muted = from_server ? it->server_muted : it->client_muted;
    muted =
        muted || fault_ == link_fault::silent || (from_server && fault_ == link_fault::mute_server);
    if (muted) {
        return;
    }
    const auto& to = from_server ? it->client : it->server;
    if (fault_ != link_fault::delay && it->delayed == 0) {
        to->write(std::move(data));
        return;
    }
    const auto timer = std::make_shared<edge::asio::steady_timer>(loop_, link_delay);
    ++it->delayed;
    timer->async_wait([timer, it, to, data = std::move(data)](edge::error_code) mutable {
        --it->delayed;
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
