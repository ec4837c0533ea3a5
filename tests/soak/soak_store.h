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

/// Fault of the store.
enum class store_fault : std::uint8_t {
    none,
    /// Responds with status 503 to every call.
    unavailable,
    /// Applies writes but sends no response to any call.
    lost_replies,
    /// Applies writes 2.5 s later and sends no response to any call.
    late_writes,
    /// Responds with status 410 to a watch that starts before the fault.
    history_lost
};

/// Stand-in of the platform's store with reads, watches and transactions on rows, and with fault
/// injection.
class soak_store {
public:
    soak_store(edge::asio::io_context& loop, const clock& time);

    /// @return whether the address could be bound.
    bool listen(const vm_address& address) { return server_.listen(address); }
    /// Closes the listening socket and all connections.
    void close() { server_.close_all(); }
    /// Writes a row without a request, on behalf of the operator or a backend server.
    void put(const std::string& table, const std::string& key, const nlohmann::json& value);
    /// Writes a row whose value is not JSON, or any text, without a request.
    void put_bytes(const std::string& table, const std::string& key, std::string value);
    /// Removes a row without a request.
    void remove(const std::string& table, const std::string& key);
    /// Replaces the present fault. store_fault::unavailable also ends all pending watches.
    void set_fault(store_fault it);
    /// Number of requests received.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct pending_watch {
        std::string table;
        std::uint64_t after = 0;
        edge::http_server::respond respond;
        std::unique_ptr<edge::asio::steady_timer> timer;
    };

    edge::http_server::cancel handle(const edge::parsed_request& request,
                                     const edge::http_server::respond& respond);
    edge::http_server::cancel watch_rows(const std::string& target,
                                         const edge::http_server::respond& respond);
    http_response apply_transaction(const std::string& body);
    void write_row(const std::string& table, const std::string& key, row it);
    [[nodiscard]] nlohmann::json rows_after(const std::string& table, std::uint64_t after,
                                            bool with_removed) const;
    [[nodiscard]] http_response rows_response(nlohmann::json rows) const;

    edge::asio::io_context& loop_;
    const clock& time_;
    edge::http_server server_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::list<std::shared_ptr<pending_watch>> pending_watches_;
    std::uint64_t version_ = 0;
    std::uint64_t oldest_version_ = 0;
    std::uint64_t calls_ = 0;
    store_fault fault_ = store_fault::none;
};

} // namespace toucan::soak
