#pragma once

#include "asio.h"
#include "daemon_lookup.h"
#include "history.h"
#include "http_connection.h"
#include "soak_configuration.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace toucan::soak {

/// Caller that asks a directory for a daemon and sends requests to it one after the other over a
/// persistent connection. It repeats refused requests when it is told to.
class soak_caller {
public:
    /// @param daemons all daemons, by index; must outlive the caller.
    soak_caller(edge::asio::io_context& loop, const clock& time,
                const std::vector<daemon_endpoints>& daemons, history& record, std::uint64_t seed,
                std::string name);

    /// Starts with a lookup.
    void start() { look_up(); }
    /// Sends no further request; a request in progress continues.
    void stop() { stopped_ = true; }

private:
    void look_up();
    void connect(std::size_t daemon);
    void send_next();
    void handle_result(std::size_t request, const edge::exchange_result& result);
    void run_after_pause(std::function<void()> action, int min_ms, int jitter_ms);
    /// Target of the next request: that of a refused one, or a random one.
    [[nodiscard]] request_target next_target();

    edge::asio::io_context& loop_;
    const clock& time_;
    const std::vector<daemon_endpoints>& daemons_;
    history& record_;
    std::mt19937_64 random_;
    std::string name_;
    edge::asio::steady_timer pause_timer_;
    edge::asio::steady_timer timeout_timer_;
    daemon_lookup lookup_;
    std::shared_ptr<edge::http_connection> connection_;
    std::size_t daemon_ = 0;
    int requests_left_ = 0;
    std::uint64_t next_id_ = 1;
    std::optional<request_target> refused_target_;
    bool stopped_ = false;
};

} // namespace toucan::soak
