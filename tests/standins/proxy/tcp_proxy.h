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

/// Forwards TCP connections between pairs of addresses and injects faults. One thread serves all
/// routes; faults and counters may be accessed from other threads.
class tcp_proxy {
public:
    /// @param seed seed of the random delays that `jitter` sets.
    explicit tcp_proxy(std::uint32_t seed);

    /// Adds a route. Call it only before `run`.
    /// @param listen address that clients connect to.
    /// @param to address of the server.
    /// @return false if it cannot listen on the address.
    bool add_route(const vm_address& listen, const vm_address& to);
    /// Changes the faults of routes. All connections of a cut route are closed before the return.
    /// Throws `std::runtime_error` if the proxy cannot listen again on a route that is no longer
    /// cut.
    /// @param body `listen` lists the routes to change, all if absent; the other fields are those
    /// of `route_faults`.
    void set_faults(const nlohmann::json& body);
    nlohmann::json counters();
    /// Serves all routes; does not return.
    void run();

private:
    using time_point = std::chrono::steady_clock::time_point;

    struct route {
        vm_address listen;
        vm_address to;
        int listen_fd = -1;
        route_faults faults;
        std::uint64_t bytes_forward = 0;
        std::uint64_t bytes_back = 0;
        std::uint64_t connections = 0;
    };
    /// Bytes of a stream that are sent when they are due. An empty chunk marks the end of the
    /// stream.
    struct chunk {
        time_point due;
        std::string bytes;
    };
    struct direction {
        std::deque<chunk> queue;
        std::size_t queued_bytes = 0;
        std::int64_t forwarded_bytes = 0;
        bool read_ended = false;
        bool write_ended = false;
        bool writable = true;
    };
    struct connection {
        std::size_t route_index = 0;
        int client = -1;
        int server = -1;
        bool connected = false;
        std::chrono::milliseconds jitter_delay{0};
        direction forward;
        direction back;
    };

    static bool open_listener(route& it);
    void accept_all(std::size_t route_index);
    bool connect_server(connection& it);
    /// @return false if the connection must be closed, as in the next two functions.
    bool read_from(connection& it, bool forward);
    bool write_to(connection& it, bool forward);
    bool handle_events(connection& it, short client_events, short server_events);
    static void close_sockets(const connection& it);
    /// Fills the descriptors for `poll`, and the ids of the connections in the same order.
    /// @return timeout for `poll`, in ms.
    int fill_poll_set(std::vector<pollfd>& fds, std::vector<std::uint64_t>& ids);

    std::mutex mutex_;
    std::vector<route> routes_;
    std::map<std::uint64_t, connection> connections_;
    std::uint64_t next_id_ = 1;
    std::minstd_rand jitter_random_;
    int wake_fd_ = -1;
};

} // namespace toucan::standins
