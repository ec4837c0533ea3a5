#include "pooled_http_client.h"

#include <utility>

namespace toucan::edge {

namespace {

constexpr milliseconds connect_timeout{600};

} // namespace

std::shared_ptr<http_connection> pooled_http_client::take_connection()
{
    while (!idle_.empty()) {
        auto it = std::move(idle_.back());
        idle_.pop_back();
        if (it->reusable()) {
            return it;
        }
        it->abort();
    }
    return std::make_shared<http_connection>(loop_, peer_, time_);
}

void pooled_http_client::close_idle()
{
    for (const auto& it : std::exchange(idle_, {})) {
        it->abort();
    }
}

void pooled_http_client::send(http_request request, milliseconds limit, handler done)
{
    request.headers.insert(request.headers.begin(), {"Host", peer_.to_string()});
    const auto connection = take_connection();
    const auto timer = std::make_shared<asio::steady_timer>(loop_);
    const auto pending_handler = std::make_shared<http_client::handler>(std::move(done));
    timer->expires_after(limit);
    timer->async_wait([this, connection, pending_handler](error_code ec) {
        if (ec || !*pending_handler) {
            return;
        }
        connection->abort();
        // What silenced this connection has probably silenced the others too.
        close_idle();
        std::exchange(*pending_handler, {})({std::nullopt, "no response within the time limit"});
    });
    connection->send(request, {std::min(limit, connect_timeout)}, {},
                     [this, connection, pending_handler, timer](exchange_result result) {
                         timer->cancel();
                         if (!*pending_handler) {
                             return;
                         }
                         if (connection->reusable()) {
                             idle_.push_back(connection);
                         }
                         if (result.fault && broken_) {
                             broken_(*result.fault, result.reason);
                         }
                         http_result it;
                         it.reason = result.reason;
                         if (result.end == exchange_end::response) {
                             it.response = std::move(result.response.response);
                         }
                         std::exchange(*pending_handler, {})(std::move(it));
                     });
}

} // namespace toucan::edge
