#pragma once

#include "caller_link.h"
#include "history.h"
#include "http_message.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace toucan::soak {

/// Caller that sends several idempotent requests on a connection before the first is answered.
class soak_pipeline_caller {
public:
    /// @param daemons all daemons, by index; must outlive the caller.
    /// @param delay_class see `caller_link`.
    soak_pipeline_caller(edge::asio::io_context& loop, const clock& time,
                         const std::vector<daemon_endpoints>& daemons, history& record,
                         std::uint64_t seed, std::string name,
                         std::optional<std::size_t> delay_class);

    /// Starts with a lookup.
    void start() { link_.start(); }
    /// Sends no further request; requests in progress continue.
    void stop() { link_.stop(); }

private:
    void send_requests();
    void on_data(std::string& in);
    /// Records the requests that the connection leaves without a response.
    void on_end();

    const clock& time_;
    history& record_;
    std::mt19937_64 random_;
    std::string name_;
    caller_link link_;
    response_reader reader_;
    /// Requests without a response, as indexes in the record.
    std::deque<std::size_t> unanswered_;
    std::uint64_t next_id_ = 1;
};

} // namespace toucan::soak
