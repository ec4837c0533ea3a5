#pragma once

#include "asio.h"
#include "http_server.h"
#include "pooled_http_client.h"
#include "table_watch.h"

#include "toucan/base/clock.h"
#include "toucan/base/vm_address.h"
#include "toucan/edge/table_client.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::edge {

std::string encode_changes(const table_result& it);
/// @return nothing with a last reason if the bytes are not an answer of a relay.
std::optional<table_result> decode_changes(std::string_view bytes);

/// Passes changes of tables on to the daemons that follow them through this one, so that the store
/// is asked once for each failure domain and not by each daemon.
class table_relay_server {
public:
    table_relay_server(asio::io_context& loop, const clock& time);

    /// Serves a table. The watch must live as long as this object.
    void serve(const table_watch& it) { watches_[it.table()] = &it; }
    /// @return false with a last reason if the address cannot be bound.
    bool listen(const vm_address& address) { return server_.listen(address); }
    void close_all() { server_.close_all(); }
    /// Answers the calls that wait for changes of a table, or for its loss.
    void changed(const table_watch& it);

private:
    struct waiting_call {
        waiting_call(asio::io_context& loop, const table_watch& source, std::uint64_t version,
                     http_server::respond done)
            : watch(&source), after(version), respond(std::move(done)), timer(loop)
        {
        }

        const table_watch* watch;
        std::uint64_t after;
        http_server::respond respond;
        asio::steady_timer timer;
    };

    http_server::cancel handle(const parsed_request& request, const http_server::respond& respond);
    static http_response answer(const table_watch& it, std::uint64_t after);

    asio::io_context& loop_;
    http_server server_;
    std::map<std::string, const table_watch*> watches_;
    std::list<std::shared_ptr<waiting_call>> waiting_;
};

/// Watches tables through the relay of the failure domain while there is one that has them, else in
/// the store. Everything else goes to the store.
class relayed_table_client final : public table_client {
public:
    using relay_source = std::function<std::optional<vm_address>()>;

    /// @param relay where the relay's tables are served; nothing if there is none.
    relayed_table_client(asio::io_context& loop, const clock& time, table_client& store,
                         relay_source relay);

    void read(const std::string& table, handler done) override;
    void watch(const std::string& table, std::uint64_t after, milliseconds wait,
               handler done) override;
    void write(const std::string& table, const std::string& key, const std::string& value,
               handler done) override;
    void remove(const std::string& table, const std::string& key, std::uint64_t version,
                handler done) override;

private:
    pooled_http_client& client_for(const vm_address& relay);
    void avoid_relay();

    asio::io_context& loop_;
    const clock& time_;
    table_client& store_;
    relay_source relay_;
    absl::flat_hash_map<std::string, std::unique_ptr<pooled_http_client>> clients_;
    steady_time use_relay_from_;
};

} // namespace toucan::edge
