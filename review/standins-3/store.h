#pragma once

#include "net.h"

#include <atomic>
#include <condition_variable>
#include <map>

namespace review {

/// The platform's store: rows with versions, reads, transactions and the feed of changes.
class store {
public:
    store();

    [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
    /// Writes a row as the operator or an upstream does.
    /// @return false, without a change, while the store is down.
    bool put(const std::string& table, const std::string& key, const std::string& value);
    bool remove(const std::string& table, const std::string& key);
    /// While it is down, the store answers 503 to all calls and does nothing.
    void set_down(bool down);
    /// Keeps a copy of all rows, from which `restore` brings the store back in its next era.
    void copy();
    void restore();
    void stop();

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };

    void serve(link& from);
    [[nodiscard]] std::string response(const std::string& status, const std::string& body) const;
    std::string answer(const message& request);
    std::string read_rows(const std::string& target);
    std::string feed(const std::string& target);
    std::string transact(const std::string& body);
    /// @param after rows with a higher version; removed rows only with `with_removed`.
    std::string rows_of(const std::string& table, std::uint64_t after, bool with_removed,
                        const std::string& from, const std::string& to);
    void write_row(const std::string& table, const std::string& key, row it);

    std::mutex mutex_;
    std::condition_variable changed_;
    using tables = std::map<std::string, std::map<std::string, row>>;
    tables tables_;
    std::uint64_t version_ = 0;
    std::uint64_t era_ = 1;
    tables copied_;
    std::uint64_t copied_version_ = 0;
    bool down_ = false;
    std::atomic<bool> stopped_{false};
    listener listener_;
};

} // namespace review
