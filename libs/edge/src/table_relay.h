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

/// @return the version and rows as a packed Cap'n Proto message.
std::string encode_changes(const table_result& it);
/// @return nothing with a last reason if the bytes are not valid table changes.
std::optional<table_result> decode_changes(std::string_view bytes);

/// HTTP server that relays table changes to the other daemons of the failure domain. The store then
/// gets one watch call per failure domain instead of one per daemon.
class table_relay_server {
public:
    table_relay_server(asio::io_context& loop, const clock& time);

    /// Serves the table of a watch. The watch must outlive this object.
    void serve(const table_watch& it) { watches_[it.table()] = &it; }
    /// @return false with a last reason if the address cannot be bound.
    bool listen(const vm_address& address) { return server_.listen(address); }
    /// Closes all connections and stops listening.
    void close_all() { server_.close_all(); }
    /// Answers the pending calls for a table that has new rows or is no longer available.
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

/// Watches tables through the relay of the failure domain, or directly in the store if there is no
/// relay or a call to it has failed. Reads, writes and removals always go to the store.
class relayed_table_client final : public table_client {
public:
    using relay_source = std::function<std::optional<vm_address>()>;

    /// @param store must outlive this object.
    /// @param relay returns the address of the relay; nothing if there is none.
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
    void bypass_relay();

    asio::io_context& loop_;
    const clock& time_;
    table_client& store_;
    relay_source relay_;
    absl::flat_hash_map<std::string, std::unique_ptr<pooled_http_client>> clients_;
    /// Time until which watches go to the store directly.
    steady_time bypass_relay_until_;
};

} // namespace toucan::edge
