#pragma once

#include "route_faults.h"
#include "toucan/base/vm_address.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

struct pollfd;

namespace toucan::standins {

/// Carries bytes between pairs of addresses and injects faults. One thread serves all routes.
class relay {
public:
    /// @param seed of the delays that `jitter` gives to connections.
    explicit relay(std::uint32_t seed);

    /// @param listen where callers connect.
    /// @param to where their bytes go.
    /// @return false if the address is in use.
    bool add_route(const vm_address& listen, const vm_address& to);
    /// Changes routes at once: when this returns, a cut route has no connection left.
    /// @param body `listen` names routes, all if absent; the other fields are fault switches.
    void set_faults(const nlohmann::json& body);
    nlohmann::json counters();
    /// Serves for as long as the process lives.
    void run();

private:
    using time_point = std::chrono::steady_clock::time_point;

    struct route {
        vm_address listen;
        vm_address to;
        int fd = -1;
        route_faults faults;
        std::uint64_t bytes_forward = 0;
        std::uint64_t bytes_back = 0;
        std::uint64_t connections = 0;
    };
    /// A piece of a stream. An empty one is the end of the stream.
    struct chunk {
        time_point due;
        std::string bytes;
    };
    struct direction {
        std::deque<chunk> queue;
        std::size_t queued = 0;
        std::int64_t passed = 0;
        bool read_ended = false;
        bool write_ended = false;
        bool writable = true;
    };
    struct connection {
        std::size_t route_index = 0;
        int client = -1;
        int server = -1;
        bool connected = false;
        std::chrono::milliseconds extra_delay{0};
        direction forward;
        direction back;
    };

    static bool open_listener(route& it);
    void accept_all(std::size_t route_index);
    bool connect_server(connection& it);
    /// @return false if the connection is to be closed.
    bool read_from(connection& it, bool forward);
    bool write_to(connection& it, bool forward);
    bool serve(connection& it, short client_events, short server_events);
    static void close_both(const connection& it);
    /// @return how long `poll` may wait, in ms.
    int collect(std::vector<pollfd>& fds, std::vector<std::uint64_t>& ids);

    std::mutex mutex_;
    std::vector<route> routes_;
    std::map<std::uint64_t, connection> connections_;
    std::uint64_t next_id_ = 1;
    std::minstd_rand random_;
    int wake_ = -1;
};

} // namespace toucan::standins
