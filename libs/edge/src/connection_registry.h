#pragma once

#include "byte_budget.h"

#include "toucan/base/clock.h"
#include "toucan/policy/eviction_order.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace toucan::edge {

class connection_charge;

/// Open connections of one listening port, with the memory that each of them holds. Closes the one
/// that holds most for longest without progress when memory or connections run out. Not
/// thread-safe.
class connection_registry : public std::enable_shared_from_this<connection_registry> {
public:
    /// Why a connection was closed.
    enum class shortage : std::uint8_t { memory, connections };

    struct counters {
        std::uint64_t evicted_for_memory = 0;
        std::uint64_t evicted_for_connections = 0;
        /// Connections closed at once, because all others wait for this process.
        std::uint64_t refused = 0;
        /// Requests refused because the budget does not allow their size.
        std::uint64_t requests_refused = 0;
    };

    /// @param port name of the port, for the event log.
    connection_registry(const clock& time, std::string port) : time_(time), port_(std::move(port))
    {
    }

    /// Sets the budget of the connections, which closes some of them when it is used up.
    void set_memory(std::shared_ptr<byte_budget> memory);
    [[nodiscard]] const std::shared_ptr<byte_budget>& memory() const { return memory_; }
    /// Adds a connection. It is removed when its charge is released.
    /// @param close closes the connection immediately.
    std::shared_ptr<connection_charge> add(std::function<void()> close);
    /// @return false if no connection has waited for its peer for the time.
    bool evict_one(std::chrono::milliseconds min_stalled, shortage reason);
    void count_refused_connection();
    void count_refused_request() { ++counters_.requests_refused; }
    [[nodiscard]] std::size_t size() const { return close_.size(); }
    [[nodiscard]] const counters& counts() const { return counters_; }
    [[nodiscard]] const std::string& port() const { return port_; }
    void set_port(std::string it) { port_ = std::move(it); }

private:
    friend class connection_charge;

    const clock& time_;
    std::string port_;
    std::shared_ptr<byte_budget> memory_;
    policy::eviction_order order_;
    absl::flat_hash_map<std::uint64_t, std::function<void()>> close_;
    std::uint64_t next_id_ = 1;
    counters counters_;
};

/// Memory and progress of one connection.
class connection_charge {
public:
    /// What the memory of a connection is used for.
    enum class part : std::uint8_t { input, responses, output };

    /// Memory of a connection without data: session, stream with its receive buffer, timers, and an
    /// estimate of the buffers of an idle socket in the kernel.
    static constexpr std::size_t connection_bytes = 12U << 10U;

    connection_charge(std::shared_ptr<connection_registry> owner, std::uint64_t id);
    connection_charge(const connection_charge&) = delete;
    connection_charge& operator=(const connection_charge&) = delete;
    ~connection_charge() { release(); }

    /// Changes the memory of one part, unless the budget does not allow it. May close the
    /// connection itself.
    bool resize(part of, std::size_t bytes);
    /// Records the memory that one part already uses. May close the connection itself.
    void set(part of, std::size_t bytes);
    /// Records bytes that were received or sent.
    void record_bytes(std::size_t bytes);
    void set_waits_for_peer(bool waits);
    /// Ends the connection's entry, when it is closed.
    void release();

private:
    [[nodiscard]] std::size_t total_with(part of, std::size_t bytes) const;

    std::shared_ptr<connection_registry> owner_;
    std::uint64_t id_;
    byte_reservation memory_;
    std::array<std::size_t, 3> parts_{};
    bool released_ = false;
};

} // namespace toucan::edge
