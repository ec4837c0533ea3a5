#pragma once

#include "asio.h"
#include "http_server.h"
#include "table_watch.h"

#include "toucan/base/clock.h"
#include "toucan/base/vm_address.h"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace toucan::edge {

/// Path of a table on the relay server.
/// GET with `after=V&era=E&wait_ms=W` waits for changes after version V of era E and returns them;
/// 410 if removals after V are no longer kept or the store has been restored since, 503 if this
/// daemon does not know of era E. With `snapshot=1` instead of `after`, it waits until the table is
/// loaded and returns all rows. With `direct=1`, only a daemon that has the table from the store
/// itself answers, so that daemons that have lost the store do not follow each other. 503 if the
/// table is not available. A response has `store_time_header`.
inline constexpr std::string_view table_relay_path = "/tables/";
/// `table_result::store_time` in milliseconds.
inline constexpr std::string_view store_time_header = "Toucan-Store-Time-Ms";
/// Longest wait of one call to a relay. Short, so that a failed relay is detected soon; the
/// repeated calls put no load on the store.
inline constexpr milliseconds max_relay_wait{1500};

/// HTTP server that relays the tables of the store to other daemons. The store then gets one watch
/// call per failure domain instead of one per daemon.
class table_relay_server {
public:
    table_relay_server(asio::io_context& loop, const clock& time);

    /// Serves the table of a watch. The watch must outlive this object.
    void serve(const table_watch& it) { watches_[it.table()] = &it; }
    /// @return false with a last reason if the address cannot be bound.
    bool listen(const vm_address& address) { return server_.listen(address); }
    /// Closes all connections and stops listening.
    void close_all() { server_.close_all(); }
    /// Answers the pending calls for a table that has new rows, has been loaded or is no longer
    /// available.
    void changed(const table_watch& it);

private:
    /// What a daemon asks for.
    struct query {
        const table_watch* watch = nullptr;
        std::uint64_t after = 0;
        /// Era of `after`; empty if the daemon does not tell it.
        std::optional<std::uint64_t> era;
        milliseconds wait{0};
        bool snapshot = false;
        bool direct = false;
    };
    struct waiting_call {
        waiting_call(asio::io_context& loop, const query& asked, http_server::respond done)
            : what(asked), respond(std::move(done)), timer(loop)
        {
        }

        query what;
        http_server::respond respond;
        asio::steady_timer timer;
    };
    /// Encoded rows of a table at a version.
    struct encoded_snapshot {
        store_position position;
        std::string body;
    };

    http_server::cancel handle(const parsed_request& request, const http_server::respond& respond);
    [[nodiscard]] std::optional<query> parse(std::string_view target) const;
    [[nodiscard]] static bool available(const query& it);
    /// Whether the store has been restored since the version that the daemon has.
    [[nodiscard]] static bool outdated(const query& it)
    {
        return it.era && *it.era < it.watch->era();
    }
    /// Whether a call can be answered without waiting.
    [[nodiscard]] static bool due(const query& it);
    http_response answer(const query& it);
    const std::string& snapshot_of(const table_watch& it);

    asio::io_context& loop_;
    http_server server_;
    std::map<std::string, const table_watch*, std::less<>> watches_;
    std::map<std::string, encoded_snapshot> snapshots_;
    std::list<std::shared_ptr<waiting_call>> waiting_;
};

} // namespace toucan::edge
