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
    /// The row no longer exists; only in changes.
    bool removed = false;

    friend bool operator==(const table_row&, const table_row&) = default;
};

enum class table_error : std::uint8_t {
    none,
    /// Nothing was done: the store is busy or refuses this VM.
    refused,
    /// The requested history is no longer kept.
    history_lost,
    /// The condition of a write does not hold.
    conflict,
    /// No response, or one that cannot be understood; a write may have been done.
    no_answer,
};

/// Answer to a read, a watch or a write.
struct table_result {
    table_error error = table_error::none;
    /// Reason of an error, for the log.
    std::string reason;
    std::vector<table_row> rows;
    /// Newest version of the whole store that the rows reflect.
    std::uint64_t version = 0;
    /// Another daemon has collected the changes: asking again costs the store nothing.
    bool relayed = false;

    friend bool operator==(const table_result&, const table_result&) = default;
};

/// Calls to the shared store that do not block. Handlers run on the event loop, exactly once.
class table_client {
public:
    using handler = std::function<void(table_result)>;

    virtual ~table_client() = default;

    /// Reads a whole table.
    virtual void read(const std::string& table, handler done) = 0;
    /// Waits for changes of a table.
    /// @param after version up to which the changes are known.
    /// @param wait longest time until an answer without changes; 0 asks the store itself.
    virtual void watch(const std::string& table, std::uint64_t after,
                       std::chrono::milliseconds wait, handler done) = 0;
    /// Writes a row without a condition.
    virtual void write(const std::string& table, const std::string& key, const std::string& value,
                       handler done) = 0;
    /// Removes a row if it still has a version.
    virtual void remove(const std::string& table, const std::string& key, std::uint64_t version,
                        handler done) = 0;
};

} // namespace toucan::edge
