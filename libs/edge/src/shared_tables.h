#pragma once

#include "asio.h"
#include "peer_exchange.h"
#include "pooled_http_client.h"
#include "relayed_table_client.h"
#include "store_gate.h"
#include "table_relay_server.h"
#include "table_watch.h"

#include "toucan/base/clock.h"
#include "toucan/base/metrics.h"
#include "toucan/edge/edge_daemon.h"
#include "toucan/edge/records.h"
#include "toucan/edge/settings.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace toucan::edge {

/// The tables of the shared store as this daemon knows them: the operator's, that of the backend
/// servers and that of the daemons. Loads and watches them, relays them to other daemons and keeps
/// this daemon's own row. All calls and hooks run on the event loop.
class shared_tables {
public:
    /// Hooks for one table.
    struct table_events {
        std::function<void(const table_row&)> changed;
        /// A row of a restored store; see `table_watch::events`.
        std::function<void(const table_row&)> restored;
        std::function<void(const std::string& key)> removed;
        /// All changes of one answer have been delivered.
        std::function<void()> delivered;
        /// The store, or the daemon through which the table is watched, has started or ceased to
        /// answer.
        std::function<void(bool available)> availability_changed;
    };
    struct events {
        table_events operator_table;
        table_events backends;
        table_events members;
        /// All tables have been read once.
        std::function<void()> loaded;
    };

    /// @param adapter must outlive this object, like `daemon_settings`, `peers` and `all`.
    shared_tables(asio::io_context& loop, const clock& time, const settings& daemon_settings,
                  const deployment_adapter& adapter, const peer_exchange& peers, metrics& all,
                  std::int64_t run, events hooks);

    /// Starts to relay the tables to other daemons.
    /// @return false with a last reason if the address cannot be bound.
    bool listen() { return relay_server_.listen(settings_.peers); }
    /// Writes this daemon's row and loads the tables, from other daemons of the failure domain if
    /// there are any, otherwise from the store.
    void start();
    /// Whether all tables have been read once.
    [[nodiscard]] bool loaded() const;
    /// State of each table, the operator's first.
    [[nodiscard]] std::vector<table_state> states() const;
    /// State of each table as Prometheus text: newest row and time since the last confirmation.
    [[nodiscard]] std::string render_states() const;
    /// Whether the table of the daemons has been read once.
    [[nodiscard]] bool members_loaded() const { return members_.loaded(); }
    /// Whether the table of the daemons is current.
    [[nodiscard]] bool members_available() const { return members_.available(); }
    /// Writes this daemon's row; repeats the write until it succeeds.
    void write_member(member_state state);
    /// Removes the row of another daemon, unless it has changed since it was read.
    void remove_member(const member_record& it);
    /// Adapts to the daemon's place among the others: how long calls wait for changes, how often a
    /// failing store is called, whether other daemons have newer rows, and whether any has news of
    /// the store. Must be called periodically.
    void check_peers();
    /// Calls to the store since the start of the process, as log fields.
    [[nodiscard]] std::string activity() const { return gate_.activity(); }

private:
    [[nodiscard]] table_watch::events watch_events(const table_events& hooks,
                                                   const table_watch& watch);
    void load();
    /// This daemon's row.
    [[nodiscard]] member_record local_member(member_state state) const;
    /// Writes this daemon's row again if the store was restored from a copy without it.
    void repeat_lost_write();
    /// Asks the store itself if neither it nor another daemon has confirmed the operator's table
    /// for too long. A call without an answer does not tell a table without changes from a dead
    /// connection.
    void check_age();
    /// Daemons of this failure domain that load the tables before this one does.
    [[nodiscard]] std::vector<vm_address> start_relays(const table_result& members) const;
    [[nodiscard]] std::array<table_watch*, 3> watches()
    {
        return {&operator_, &backends_, &members_};
    }
    [[nodiscard]] std::array<const table_watch*, 3> watches() const
    {
        return {&operator_, &backends_, &members_};
    }

    const clock& time_;
    const settings& settings_;
    const peer_exchange& peers_;
    std::int64_t run_;
    events hooks_;
    pooled_http_client http_;
    std::unique_ptr<table_client> store_;
    store_gate gate_;
    relayed_table_client client_;
    table_relay_server relay_server_;
    table_watch operator_;
    table_watch backends_;
    table_watch members_;
    asio::steady_timer member_timer_;
    /// State that this daemon's row must have.
    member_state member_state_ = member_state::ready;
    /// Value of this daemon's row as last written, and the newest era of the store in which it is
    /// known to be there.
    std::string written_value_;
    std::uint64_t written_era_ = 0;
};

} // namespace toucan::edge
