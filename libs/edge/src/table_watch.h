#pragma once

#include "asio.h"
#include "table_state.h"

#include "toucan/base/clock.h"
#include "toucan/edge/table_client.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucan::edge {

/// Keeps a local copy of one table of the shared store: reads the table in full, then watches it
/// for changes. Retries with backoff after an error, and reads the table again if the store no
/// longer keeps the required history or was restored from an older copy. All calls and hooks run on
/// the event loop.
///
/// A restored store has lost its last writes, which their writers repeat. Rows that are missing
/// after it are therefore removed only if they do not come back within `set_missing_row_grace`.
class table_watch {
public:
    struct events {
        /// A row was added or has changed.
        std::function<void(const table_row&)> changed;
        std::function<void(const std::string& key)> removed;
        /// All changes of one answer have been delivered.
        std::function<void()> batch_delivered;
        /// The first full read is complete.
        std::function<void()> loaded;
        /// Calls to the store succeed again, or have started to fail.
        std::function<void(bool available)> availability_changed;
        /// A row of a store that was restored from a copy differs from the known one, or no row of
        /// this key is known. Its writer may have written a newer one since the copy was made and
        /// will write it again. Defaults to `changed`.
        std::function<void(const table_row&)> restored = {};
    };

    table_watch(asio::io_context& loop, const clock& time, table_client& client, std::string table,
                events hooks);

    /// Starts the first full read.
    void start() { read(); }
    /// Compares with the newest row version that other daemons report. A version up to which this
    /// copy is complete is not missing, also if the row was removed since; it confirms this copy as
    /// far as theirs is confirmed. If the pending watch call does not deliver a missing version in
    /// time, its connection is assumed to be dead and the call is replaced by a new one. Must be
    /// called periodically.
    void check_peer_version(const table_state& reported);
    /// Replaces the pending watch call, whose connection may be dead, by one to the store itself.
    /// Without effect while no answer is expected, because the last call failed or changes are
    /// batched.
    void replace_call();
    /// Sets the long-poll wait of the following calls.
    /// @param wait longest time until an answer without changes.
    void set_wait(milliseconds wait) { wait_ = wait; }
    [[nodiscard]] bool loaded() const { return loaded_; }
    /// Sets how long rows that a restored store lacks are kept.
    void set_missing_row_grace(milliseconds it) { missing_row_grace_ = it; }
    /// Version of the newest row that was received.
    [[nodiscard]] std::uint64_t newest_row() const { return newest_row_; }
    /// Newest row, and when the store last confirmed that there is no newer one.
    [[nodiscard]] table_state state() const
    {
        return {newest_row_, store_time_, confirmed_at_, era_};
    }
    /// Whether the table is loaded, the last call did not fail and its connection is not assumed to
    /// be dead.
    [[nodiscard]] bool available() const { return loaded_ && available_ && !silent_; }
    /// Whether the last rows came from the store itself and not from another daemon.
    [[nodiscard]] bool from_store() const { return from_store_; }
    [[nodiscard]] const std::string& table() const { return table_; }
    /// Position of the store up to which the rows are complete.
    [[nodiscard]] store_position position() const { return {era_, version_}; }
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] std::uint64_t era() const { return era_; }
    /// All rows.
    [[nodiscard]] table_result snapshot() const;
    /// @return nullptr if there is no row of this key.
    [[nodiscard]] const table_row* find(const std::string& key) const;
    /// Changes for a daemon that watches the table through this one, ordered by version.
    /// @param after version up to which that daemon has the changes.
    /// @return `history_lost` if removals after that version are no longer kept.
    [[nodiscard]] table_result changes(std::uint64_t after) const;

private:
    void read();
    /// @param distrust see `watch_options::distrust`.
    void watch(bool distrust = false);
    void watch_after_pause();
    void apply_snapshot(const table_result& result);
    /// Replaces all rows by those of a store that was restored from an older copy.
    void apply_restored(const table_result& result);
    /// Removes the rows that have not come back since the store was restored.
    void remove_missing_rows();
    void apply_changes(const table_result& result);
    /// Keeps and delivers a row, unless a newer version of it is known.
    void store_row(const table_row& row);
    void deliver(const std::function<void(const table_row&)>& hook, const table_row& row) const;
    void remove_row(const std::string& key, std::uint64_t version);
    void on_success(const table_result& result);
    /// Whether an answer shows that the store was restored since the known version.
    [[nodiscard]] bool restored_since(const table_result& result) const
    {
        return era_ > 0 && result.era > era_;
    }
    /// Position of an answer. A daemon that does not tell the era is assumed to know this one.
    [[nodiscard]] store_position position_of(const table_result& result) const
    {
        return {result.era == 0 ? era_ : result.era, result.version};
    }
    /// @param store_time of a confirmation that another daemon has received or passed on.
    void record_confirmation(milliseconds store_time);
    void on_error(const table_result& result, bool read_again);

    const clock& time_;
    table_client& client_;
    std::string table_;
    events hooks_;
    asio::steady_timer pause_timer_;
    asio::steady_timer missing_rows_timer_;
    std::map<std::string, table_row> rows_;
    /// Keys of rows that a restored store lacks and that have not been removed yet.
    std::set<std::string> missing_rows_;
    milliseconds missing_row_grace_{0};
    /// The last removed rows, ordered by the version of the removal.
    std::deque<table_row> removed_rows_;
    /// All removals after this version are in `removed_rows_`.
    std::uint64_t history_start_ = 0;
    /// Version of the store up to which `rows_` is complete.
    std::uint64_t version_ = 0;
    std::uint64_t newest_row_ = 0;
    /// Era of the store to which the versions belong; 0 if it is not known.
    std::uint64_t era_ = 0;
    /// Clock of the store when it last confirmed, to this daemon or to another one, that `rows_` is
    /// complete, and when this daemon learned of it.
    milliseconds store_time_{0};
    std::optional<steady_time> confirmed_at_;
    /// Number of the last call; answers to earlier calls are ignored.
    std::uint64_t last_call_ = 0;
    /// Newest row that another daemon reports and this one has not received; version 0 if none.
    store_position missing_;
    steady_time missing_since_;
    milliseconds wait_;
    milliseconds backoff_;
    /// Number of answers with changes, with exponential decay.
    double recent_answer_count_ = 0;
    steady_time counted_at_;
    bool loaded_ = false;
    bool available_ = true;
    bool from_store_ = false;
    /// The last call did not deliver rows that other daemons have received.
    bool silent_ = false;
    /// No call is pending; the pause timer starts the next one.
    bool paused_ = false;
};

} // namespace toucan::edge
