#include "fault_proxy.h"

#include <algorithm>
#include <array>
#include <deque>
#include <string>
#include <utility>

namespace toucan::soak {

namespace {

using clock_type = std::chrono::steady_clock;

constexpr std::chrono::milliseconds fault_delay{150};
/// Data of one direction that is not delivered yet, above which reading pauses.
constexpr std::size_t max_pending_bytes = 256U << 10U;

} // namespace

/// Accepted connection of a client and the connection to the server that belongs to it.
struct fault_proxy::link {
    edge::tcp::socket client;
    edge::tcp::socket server;
    int open_directions = 2;

    void close()
    {
        edge::error_code ec;
        client.close(ec);
        server.close(ec);
    }
};

/// One direction of a link. Delivers the data and the end in the order in which they were received,
/// so that the end does not overtake delayed data.
class fault_proxy::direction : public std::enable_shared_from_this<direction> {
public:
    direction(fault_proxy& proxy, std::shared_ptr<link> it, bool from_server)
        : proxy_(proxy), link_(std::move(it)), from_server_(from_server), timer_(proxy.loop_)
    {
    }

    void read()
    {
        if (reading_ || ended_ || pending_bytes_ > max_pending_bytes) {
            return;
        }
        reading_ = true;
        source().async_read_some(edge::asio::buffer(buf_),
                                 [self = shared_from_this()](edge::error_code ec, std::size_t n) {
                                     self->reading_ = false;
                                     self->on_read(ec, n);
                                 });
    }

private:
    enum class kind { data, end_of_data, reset };
    struct event {
        clock_type::time_point due;
        kind type;
        std::string data = {};
    };

    edge::tcp::socket& source() { return from_server_ ? link_->server : link_->client; }
    edge::tcp::socket& target() { return from_server_ ? link_->client : link_->server; }

    void on_read(edge::error_code ec, std::size_t n)
    {
        if (ec == edge::asio::error::operation_aborted) {
            return;
        }
        if (ec) {
            ended_ = true;
            queue(ec == edge::asio::error::eof ? kind::end_of_data : kind::reset, {});
            return;
        }
        // Later data is dropped too, because the stream has a gap.
        dropped_ = dropped_ || proxy_.drops_data(from_server_);
        if (!dropped_) {
            queue(kind::data, std::string(buf_.data(), n));
        }
        read();
    }

    void queue(kind type, std::string data)
    {
        // A delay fault may have ended; what it delays is not overtaken.
        last_due_ = std::max(last_due_, clock_type::now() + proxy_.present_delay());
        pending_bytes_ += data.size();
        pending_.push_back({last_due_, type, std::move(data)});
        deliver();
    }

    void deliver()
    {
        if (delivering_ || pending_.empty()) {
            return;
        }
        delivering_ = true;
        if (pending_.front().due <= clock_type::now()) {
            deliver_front();
            return;
        }
        timer_.expires_at(pending_.front().due);
        timer_.async_wait([self = shared_from_this()](edge::error_code) { self->deliver_front(); });
    }

    void deliver_front()
    {
        if (pending_.front().type != kind::data) {
            deliver_end(pending_.front().type);
            return;
        }
        edge::asio::async_write(target(), edge::asio::buffer(pending_.front().data),
                                [self = shared_from_this()](edge::error_code ec, std::size_t) {
                                    // If the receiver is gone, data is discarded until the sender
                                    // ends.
                                    self->dropped_ = self->dropped_ || ec;
                                    self->pending_bytes_ -= self->pending_.front().data.size();
                                    self->pending_.pop_front();
                                    self->delivering_ = false;
                                    self->deliver();
                                    self->read();
                                });
    }

    void deliver_end(kind type)
    {
        if (from_server_ && dropped_) {
            // The client is not told about the end of a server that became silent.
            edge::error_code ec;
            link_->server.close(ec);
            return;
        }
        if (type == kind::reset || --link_->open_directions == 0) {
            link_->close();
            return;
        }
        edge::error_code ec;
        target().shutdown(edge::tcp::socket::shutdown_send, ec);
    }

    fault_proxy& proxy_;
    std::shared_ptr<link> link_;
    bool from_server_;
    edge::asio::steady_timer timer_;
    std::array<char, 4096> buf_{};
    std::deque<event> pending_;
    std::size_t pending_bytes_ = 0;
    clock_type::time_point last_due_;
    bool reading_ = false;
    bool delivering_ = false;
    bool ended_ = false;
    bool dropped_ = false;
};

fault_proxy::fault_proxy(edge::asio::io_context& loop, const vm_address& listen,
                         const vm_address& server, std::chrono::milliseconds delay)
    : loop_(loop), server_(edge::tcp_endpoint(server)),
      acceptor_(loop, edge::tcp_endpoint(listen), true), delay_(delay)
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
    const auto it = std::make_shared<link>(link{std::move(socket), edge::tcp::socket(loop_)});
    edge::error_code ec;
    // The server is on loopback, so that connect succeeds or fails without blocking for long.
    it->server.connect(server_, ec);
    if (ec) {
        it->close();
        return;
    }
    it->client.set_option(edge::tcp::no_delay(true), ec);
    it->server.set_option(edge::tcp::no_delay(true), ec);
    std::erase_if(links_, [](const auto& known) { return known.expired(); });
    links_.push_back(it);
    for (const bool from_server : {false, true}) {
        std::make_shared<direction>(*this, it, from_server)->read();
    }
}

std::chrono::milliseconds fault_proxy::present_delay() const
{
    return fault_ == link_fault::delay ? delay_ + fault_delay : delay_;
}

bool fault_proxy::drops_data(bool from_server) const
{
    return fault_ == link_fault::drop_all_data ||
           (from_server && fault_ == link_fault::drop_server_data);
}

void fault_proxy::set_fault(link_fault it)
{
    fault_ = it;
    if (it != link_fault::reset) {
        return;
    }
    for (const auto& weak : links_) {
        if (const auto known = weak.lock()) {
            known->close();
        }
    }
}

} // namespace toucan::soak
