#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace toucan::edge {

/// One row of a table of the shared store.
struct table_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    /// The row was removed at `version`; only in the result of a watch.
    bool removed = false;

    friend bool operator==(const table_row&, const table_row&) = default;
};

/// Outcome of a call to the shared store.
enum class table_error : std::uint8_t {
    none,
    /// The store did not process the call: it is overloaded or rejects this VM.
    rejected,
    /// The store no longer keeps the requested history.
    history_lost,
    /// The row does not have the version that the call requires.
    conflict,
    /// No response, an unexpected HTTP status or a malformed body. A write or removal may have
    /// taken effect.
    no_response,
};

/// Result of a read, a watch, a write or a removal.
struct table_result {
    table_error error = table_error::none;
    /// Description of an error, for the log.
    std::string reason;
    std::vector<table_row> rows;
    /// Version of the store up to which the rows are complete.
    std::uint64_t version = 0;
    /// A relay has supplied the rows, so the next watch call puts no load on the store.
    bool relayed = false;
    /// Clock of the store when it confirmed that the rows are complete; only compared with others
    /// of the same store. 0 if it is not known.
    std::chrono::milliseconds store_time{0};
    /// Era of the store to which `version` and the row versions belong; see `store_position`.
    std::uint64_t era = 0;

    friend bool operator==(const table_result&, const table_result&) = default;
};

/// How to watch a table.
struct watch_options {
    /// Longest time until an answer without changes; 0 requests an immediate answer.
    std::chrono::milliseconds wait{0};
    /// Whether the store itself must answer, on a new connection: the last call brought nothing, so
    /// its relay may be behind, and open connections may be dead.
    bool distrust = false;
    /// Era of the version from which the watch goes on. A relay answers `history_lost` if the store
    /// has been restored since.
    std::uint64_t era = 0;
};

/// Asynchronous client of the shared store. Each handler runs exactly once, on the event loop.
class table_client {
public:
    using handler = std::function<void(table_result)>;

    virtual ~table_client() = default;

    /// Reads a whole table.
    virtual void read(const std::string& table, handler done) = 0;
    /// Reads the rows whose keys begin with a prefix, which is not empty.
    virtual void read_range(const std::string& table, const std::string& prefix, handler done) = 0;
    /// Waits for changes of a table (long poll).
    /// @param after version up to which the changes are already known.
    virtual void watch(const std::string& table, std::uint64_t after, const watch_options& options,
                       handler done) = 0;
    /// Writes a row unconditionally.
    virtual void write(const std::string& table, const std::string& key, const std::string& value,
                       handler done) = 0;
    /// Removes a row if it still has the given version.
    virtual void remove(const std::string& table, const std::string& key, std::uint64_t version,
                        handler done) = 0;
};

} // namespace toucan::edge
