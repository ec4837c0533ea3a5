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

/// Applies the rows of the backend servers' table to the fleet, and judges rows that are missing or
/// outdated after the store was away or was restored from an older copy.
class backend_rows {
public:
    /// The references must outlive this object.
    backend_rows(const clock& time, const record_codec& codec, fleet& fleet)
        : time_(time), codec_(codec), fleet_(fleet)
    {
    }

    void change(const table_row& row);
    /// Handles a row of a restored store. One that is older than what is known of the server is not
    /// applied at once: the server may have announced that it leaves, or be gone.
    void restore(const table_row& row);
    /// Removes a server; shortly after an outage of the store, after a delay in which its row may
    /// reappear.
    void remove(const std::string& key);
    /// Must be called when the store answers again after an outage.
    void record_store_return() { store_returned_at_ = time_.now(); }
    /// Removes servers whose rows have not reappeared, and applies outdated rows that are still
    /// there: the store keeps only rows of servers that write them. Must be called periodically.
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
        steady_time apply_at;
    };

    [[nodiscard]] static record_order order_of(const backend_record& it)
    {
        return {it.started_ms, it.number};
    }
    /// Order of the newest record that is known of a server, also of a removed one.
    [[nodiscard]] const record_order* newest(const backend_server_name& name) const;
    /// Applies a decoded row.
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
    steady_time store_returned_at_;
};

} // namespace toucan::edge
