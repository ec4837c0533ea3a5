#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>

namespace toucan::review {

/// Stand-in of the platform's store: the calls on rows of PROTOCOL.md, kept in memory, with all of
/// their history. Answers after the usual times and never fails.
class store {
public:
    explicit store(const address& at);
    ~store();

    /// Writes a row of the operator or of an upstream. Its value is sent as JSON.
    void put(const std::string& table, const std::string& key, const nlohmann::json& value);
    void remove(const std::string& table, const std::string& key);
    /// The answers to the feed calls that wait for changes of a table at present, and are due with
    /// its next change, are lost. Their connections deliver nothing further.
    void lose_next_answers(const std::string& table);
    /// Feed answers that were lost, and answers that were given so far.
    [[nodiscard]] std::size_t lost_answers();
    [[nodiscard]] std::size_t given_answers();
    /// Number of rows that are not removed.
    [[nodiscard]] std::size_t size(const std::string& table);

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };

    void serve(connection& peer);
    /// Must be called for each write of the operator or an upstream, before waiting calls wake up.
    void note_change(const std::string& table);
    /// @return nothing if the answer is lost.
    std::optional<message> answer(const message& request);
    message transaction(const std::string& body);
    message get(const std::string& target);
    std::optional<message> feed(const std::string& target);
    [[nodiscard]] nlohmann::json describe(const std::string& table, const std::string& key,
                                          const row& it) const;
    [[nodiscard]] nlohmann::json changes(const std::string& table, std::uint64_t after) const;
    [[nodiscard]] message rows_answer(int status, nlohmann::json rows, bool more) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::uint64_t version_ = 1;
    /// Tables whose next change loses the answers to the calls that wait for it.
    std::map<std::string, bool> losing_;
    /// Version of the change whose answers were lost, by table.
    std::map<std::string, std::uint64_t> lost_versions_;
    std::size_t lost_answers_ = 0;
    std::size_t given_answers_ = 0;
    steady_time started_ = steady_clock::now();
    bool stopping_ = false;
    std::unique_ptr<server> server_;
};

} // namespace toucan::review
