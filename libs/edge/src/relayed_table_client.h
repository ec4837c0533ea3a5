#pragma once

#include "asio.h"
#include "pooled_http_client.h"
#include "store_gate.h"

#include "toucan/base/clock.h"
#include "toucan/base/metrics.h"
#include "toucan/base/vm_address.h"
#include "toucan/edge/store_position.h"
#include "toucan/edge/table_client.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan::edge {

/// Reads and watches tables through other daemons where possible, so that the calls to the store
/// follow the number of failure domains and not the number of daemons.
///
/// A watch goes to the relay of the failure domain; to the store if there is no relay or it has
/// failed; and, if the store fails, to the relays of other failure domains. A full read takes the
/// rows of a relay, if the store fails also those of a relay of another failure domain, and asks
/// the store only for what is newer, so that it is never older than the store. Writes and removals
/// always go to the store.
class relayed_table_client final : public table_client {
public:
    /// Daemons from which tables can be read.
    struct sources {
        /// Relay of the failure domain; nothing if there is none.
        std::function<std::optional<vm_address>()> relay;
        /// Relays of other failure domains; empty unless this daemon is itself a relay.
        std::function<std::vector<vm_address>()> other_relays;
    };

    /// @param store must outlive this object, like `all`.
    relayed_table_client(asio::io_context& loop, const clock& time, store_gate& store,
                         sources relays, metrics& all);

    /// Sets the daemons to ask, for a short time, until a relay is known.
    void set_start_relays(std::vector<vm_address> it);

    void read(const std::string& table, handler done) override;
    void read_range(const std::string& table, const std::string& prefix, handler done) override;
    void watch(const std::string& table, std::uint64_t after, const watch_options& options,
               handler done) override;
    void write(const std::string& table, const std::string& key, const std::string& value,
               handler done) override;
    void remove(const std::string& table, const std::string& key, std::uint64_t version,
                handler done) override;

private:
    /// A full read that asks relays.
    struct full_read {
        std::string table;
        handler done;
        std::vector<vm_address> relays;
        std::size_t attempts = 0;
        /// The relays are those of other failure domains, which must have the rows from the store.
        bool direct = false;
        steady_time give_up_at;
    };
    /// A watch through relays of other failure domains, which are asked one after the other.
    struct other_relay_watch {
        std::string table;
        store_position after;
        milliseconds wait{0};
        /// Empty once the watch has completed.
        handler done;
        std::vector<vm_address> relays;
        std::size_t asked = 0;
        /// A relay has the table, but not the changes since `after`.
        bool history_lost = false;
    };
    /// Handles the answer of a relay: the changes, or the HTTP status and reason of a failure.
    using relay_handler =
        std::function<void(std::optional<table_result> changes, int status, std::string reason)>;

    /// Relays to ask, the preferred one first.
    [[nodiscard]] std::vector<vm_address> known_relays() const;
    void read_snapshot(const std::shared_ptr<full_read>& it);
    void retry_snapshot(const std::shared_ptr<full_read>& it);
    /// Asks the store for what is newer than a snapshot, then completes the read.
    void complete_snapshot(const std::shared_ptr<full_read>& it, table_result snapshot);
    void watch_store(const std::string& table, std::uint64_t after, const watch_options& options,
                     handler done);
    /// Watches through a relay of another failure domain.
    void watch_other_relay(const std::string& table, store_position after, milliseconds wait,
                           handler done);
    void ask_next_relay(const std::shared_ptr<other_relay_watch>& it);
    /// Finds out whether the store answers again, and completes the watch if it does.
    void probe_store(const std::shared_ptr<other_relay_watch>& it);
    /// Completes a watch with its first result; a later one is dropped.
    static void complete(other_relay_watch& it, table_result result);
    void ask_relay(const vm_address& relay, const std::string& table, const std::string& query,
                   milliseconds wait, relay_handler done);
    pooled_http_client& client_for(const vm_address& relay);
    /// Remembers the newest era that an answer has named.
    void record_era(const table_result& it) { newest_era_ = std::max(newest_era_, it.era); }
    void bypass_relay();

    asio::io_context& loop_;
    const clock& time_;
    store_gate& store_;
    sources relays_;
    metrics& metrics_;
    metrics::counter& relayed_reads_;
    metrics::counter& store_reads_;
    std::vector<vm_address> start_relays_;
    steady_time start_relays_until_;
    absl::flat_hash_map<std::string, std::unique_ptr<pooled_http_client>> clients_;
    /// Newest era of the store that an answer has named. The rows of a relay that does not know it
    /// yet are not taken for a full read.
    std::uint64_t newest_era_ = 0;
    /// Time until which watches go to the store directly.
    steady_time bypass_relay_until_;
    /// Relay of another failure domain that answered last.
    vm_address last_other_relay_;
    /// Relays of other failure domains that full reads have asked.
    std::size_t direct_attempts_ = 0;
    /// Tables whose last watch went to a relay of another failure domain.
    absl::flat_hash_set<std::string> from_other_relay_;
};

} // namespace toucan::edge
