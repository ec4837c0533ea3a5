#pragma once

#include "asio.h"
#include "history.h"
#include "pooled_http_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace toucan::soak {

/// Where a daemon is reached, and which run of it is the present one.
struct daemon_place {
    vm_address callers;
    vm_address directory;
    std::string failure_domain;
    std::string region;
    int run = 0;
};

/// Sends requests one after the other over connections that it keeps open, as callers do.
class soak_caller {
public:
    /// @param daemons all daemons, by index.
    soak_caller(edge::asio::io_context& loop, const clock& time,
                const std::vector<daemon_place>& daemons, history& record, std::uint64_t seed,
                std::string name);

    void start() { look_up(); }
    void stop() { stopped_ = true; }

private:
    void look_up();
    void connect(const std::string& body);
    void send_next();
    void ended(std::size_t request, const edge::exchange_result& result);
    void again(std::function<void()> what, int least_ms, int further_ms);
    [[nodiscard]] std::string draw_path();

    edge::asio::io_context& loop_;
    const clock& time_;
    const std::vector<daemon_place>& daemons_;
    history& record_;
    std::mt19937_64 random_;
    std::string name_;
    edge::asio::steady_timer pause_;
    edge::asio::steady_timer limit_;
    std::unique_ptr<edge::pooled_http_client> directory_;
    std::shared_ptr<edge::http_connection> connection_;
    std::size_t daemon_ = 0;
    int requests_left_ = 0;
    std::uint64_t next_id_ = 1;
    bool stopped_ = false;
};

} // namespace toucan::soak
