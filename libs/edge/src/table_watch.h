#pragma once

#include "asio.h"

#include "toucan/base/clock.h"
#include "toucan/edge/table_client.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace toucan::edge {

/// Follows one table of the shared store: reads it in full, then waits for changes. After an error
/// it tries again with growing pauses; after a loss of history it reads the table again.
class table_watch {
public:
    struct events {
        /// A row that is new or has changed.
        std::function<void(const table_row&)> changed;
        std::function<void(const std::string& key)> removed;
        /// All changes of an answer have been delivered.
        std::function<void()> advanced;
        /// The first full read is complete.
        std::function<void()> loaded;
        /// The store answers again, or no longer answers.
        std::function<void(bool available)> availability;
    };

    table_watch(asio::io_context& loop, const clock& time, table_client& client, std::string table,
                events hooks);

    void start() { read(); }
    /// Another daemon has seen a row of this version. If the present call does not deliver it
    /// soon, its connection is silent, and the call is made anew.
    void peer_saw(std::uint64_t row_version);
    /// @param wait longest time until an answer without changes.
    void set_wait(milliseconds wait) { wait_ = wait; }
    [[nodiscard]] bool loaded() const { return loaded_; }
    /// Version of the newest row that was seen.
    [[nodiscard]] std::uint64_t newest_row() const { return newest_row_; }
    /// Whether the last call was answered.
    [[nodiscard]] bool available() const { return loaded_ && available_ && !silent_; }
    [[nodiscard]] const std::string& table() const { return table_; }
    /// @return 0 if there is no such row.
    [[nodiscard]] std::uint64_t version_of(const std::string& key) const;
    /// Changes for a daemon that follows the table through this one.
    /// @param after version up to which it knows them.
    /// @return `history_lost` if they are no longer known here either.
    [[nodiscard]] table_result changes(std::uint64_t after) const;

private:
    void read();
    void watch();
    void watch_later();
    void take_snapshot(const table_result& result);
    void take_changes(const table_result& result);
    void store(const table_row& row);
    void drop(const std::string& key, std::uint64_t version);
    void succeeded();
    void failed(const table_result& result, bool read_again);

    const clock& time_;
    table_client& client_;
    std::string table_;
    events hooks_;
    asio::steady_timer pause_;
    std::map<std::string, table_row> rows_;
    /// Rows that were removed last, in the order of their versions.
    std::deque<table_row> removed_;
    /// Removals after this version are all in `removed_`.
    std::uint64_t history_from_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t newest_row_ = 0;
    /// Answers to calls of an earlier number are ignored.
    std::uint64_t call_ = 0;
    std::uint64_t missing_row_ = 0;
    steady_time missing_since_;
    milliseconds wait_;
    milliseconds next_pause_;
    /// Answers with changes lately; halves with time.
    double recent_answers_ = 0;
    steady_time counted_;
    bool loaded_ = false;
    bool available_ = true;
    /// Other daemons have seen rows that the last call did not deliver.
    bool silent_ = false;
    bool paused_ = false;
};

} // namespace toucan::edge
