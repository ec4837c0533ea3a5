#pragma once

#include "daemon_lookup.h"
#include "history.h"
#include "http_message.h"
#include "stream.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace toucan::soak {

/// Caller that sends several idempotent requests on a connection before the first is answered.
class soak_pipeline_caller {
public:
    /// @param daemons all daemons, by index; must outlive the caller.
    soak_pipeline_caller(edge::asio::io_context& loop, const clock& time,
                         const std::vector<daemon_endpoints>& daemons, history& record,
                         std::uint64_t seed, std::string name);

    /// Starts with a lookup.
    void start() { look_up(); }
    /// Sends no further request; requests in progress continue.
    void stop() { stopped_ = true; }

private:
    void look_up();
    void connect(std::size_t daemon);
    void send_requests();
    void on_data(std::string& in);
    void handle_response(const edge::parsed_response& response);
    /// Records the requests that the connection leaves without a response.
    void on_end();
    void run_after_pause(void (soak_pipeline_caller::*action)());

    edge::asio::io_context& loop_;
    const clock& time_;
    const std::vector<daemon_endpoints>& daemons_;
    history& record_;
    std::mt19937_64 random_;
    std::string name_;
    edge::asio::steady_timer pause_timer_;
    daemon_lookup lookup_;
    std::shared_ptr<edge::tcp::socket> connecting_;
    std::shared_ptr<edge::stream> stream_;
    edge::response_reader reader_;
    /// Requests without a response, as indexes in the record.
    std::deque<std::size_t> unanswered_;
    std::size_t daemon_ = 0;
    std::uint64_t next_id_ = 1;
    bool stopped_ = false;
};

} // namespace toucan::soak
