#pragma once

#include "fleet.h"

#include "toucan/base/clock.h"
#include "toucan/edge/record_codec.h"
#include "toucan/edge/table_client.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <string>

namespace toucan::edge {

/// Applies the rows of the backend servers' table to the fleet. Holds back rows that are older than
/// what is known of their server, and rows that are missing after the store was away.
///
/// The start time of a run orders the runs of a server, but it comes from the clock of the server,
/// which may step back between two runs. A row that is held back is therefore applied later if it
/// is still the row of its server.
class backend_rows {
public:
    /// The references must outlive this object.
    backend_rows(const clock& time, const record_codec& codec, fleet& fleet)
        : time_(time), codec_(codec), fleet_(fleet)
    {
    }

    /// Handles a changed row. A write may reach the store late, when a newer run of the server has
    /// already written its row.
    void change(const table_row& row);
    /// Handles a row of a restored store. It may be older than what is known of the server, which
    /// may since have announced that it leaves, or be gone.
    void restore(const table_row& row);
    /// Removes a server; shortly after an outage of the store, after a delay in which its row may
    /// reappear.
    void remove(const std::string& key);
    /// Must be called when the store no longer answers, and when it answers again.
    void record_store_availability(bool available);
    /// Removes servers whose rows have not reappeared, and applies outdated rows that are still
    /// there: the store keeps only rows of servers that write them, and a newer run that is alive
    /// would have replaced them. That is not known while the store does not answer. Must be called
    /// periodically.
    void expire();

private:
    /// What orders the records of a server.
    struct record_order {
        std::int64_t started_ms = 0;
        std::uint64_t number = 0;

        friend auto operator<=>(const record_order&, const record_order&) = default;
    };
    struct outdated_row {
        table_row row;
        record_order order;
        steady_time apply_at;
    };

    [[nodiscard]] static record_order order_of(const backend_record& it)
    {
        return {it.started_ms, it.number};
    }
    /// Order of the newest record that is known of a server, also of a removed one.
    [[nodiscard]] const record_order* newest(const backend_server_name& name) const;
    /// Applies a decoded row, or holds it back if it is older than what is known of the server.
    /// @param it nothing, with a last reason, if the row cannot be read.
    void apply_in_order(const table_row& row, const std::optional<backend_record>& it);
    void hold_back(const table_row& row, const backend_record& it, const record_order& known);
    /// Applies a decoded row, whatever its order.
    /// @param it nothing, with a last reason, if the row cannot be read.
    void apply(const std::string& key, const std::optional<backend_record>& it);
    void remove_now(const backend_server_name& name);

    const clock& time_;
    const record_codec& codec_;
    fleet& fleet_;
    absl::flat_hash_map<backend_server_name, record_order> newest_;
    /// Removed servers that are still in `newest_`, oldest first.
    std::deque<backend_server_name> removed_;
    /// Servers whose rows were missing just after a store outage, with the time at which they are
    /// removed.
    absl::flat_hash_map<backend_server_name, steady_time> missing_;
    /// Rows that were not applied because they are older than what is known.
    absl::flat_hash_map<backend_server_name, outdated_row> outdated_;
    bool store_available_ = true;
    steady_time store_returned_at_;
};

} // namespace toucan::edge
