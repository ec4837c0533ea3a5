#pragma once

#include "asio.h"
#include "http_server.h"

#include "toucan/base/clock.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace toucan::soak {

/// How the store misbehaves.
enum class store_fault : std::uint8_t {
    none,
    /// Answers 503 to every call.
    refuses,
    /// Does what it is told, but no answer arrives.
    loses_answers,
    /// Performs writes seconds later, without an answer.
    late,
    /// Knows no history.
    forgets
};

/// Stand-in of the platform's store: rows, reads, watches and transactions, with faults on demand.
class soak_store {
public:
    soak_store(edge::asio::io_context& loop, const clock& time);

    bool listen(const vm_address& address) { return server_.listen(address); }
    void close() { server_.close_all(); }
    /// Writes as the operator or a backend server does.
    void put(const std::string& table, const std::string& key, const nlohmann::json& value);
    void remove(const std::string& table, const std::string& key);
    void set_fault(store_fault it);
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct waiting_call {
        std::string table;
        std::uint64_t after = 0;
        edge::http_server::respond respond;
        std::unique_ptr<edge::asio::steady_timer> timer;
    };

    edge::http_server::cancel handle(const edge::parsed_request& request,
                                     const edge::http_server::respond& respond);
    edge::http_server::cancel feed(const std::string& target,
                                   const edge::http_server::respond& respond);
    http_response transact(const std::string& body);
    void store(const std::string& table, const std::string& key, row it);
    [[nodiscard]] nlohmann::json rows_after(const std::string& table, std::uint64_t after,
                                            bool with_removed) const;
    [[nodiscard]] http_response answer(nlohmann::json rows) const;

    edge::asio::io_context& loop_;
    const clock& time_;
    edge::http_server server_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::list<std::shared_ptr<waiting_call>> waiting_;
    std::uint64_t version_ = 0;
    std::uint64_t history_from_ = 0;
    std::uint64_t calls_ = 0;
    store_fault fault_ = store_fault::none;
};

} // namespace toucan::soak
