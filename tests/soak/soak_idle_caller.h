#pragma once

#include "caller_link.h"
#include "history.h"
#include "http_message.h"

#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace toucan::soak {

/// Caller that keeps an idle connection for seconds between requests, so that a request may cross
/// the close of its connection by the daemon.
class soak_idle_caller {
public:
    /// @param daemons all daemons, by index; must outlive the caller.
    /// @param delay_class see `caller_link`.
    soak_idle_caller(edge::asio::io_context& loop, const clock& time,
                     const std::vector<daemon_endpoints>& daemons, history& record,
                     std::uint64_t seed, std::string name, std::size_t delay_class);

    /// Starts with a lookup.
    void start() { link_.start(); }
    /// Sends no further request; a request in progress continues.
    void stop() { link_.stop(); }

private:
    void send_request();
    void on_data(std::string& in);
    /// Records the end of the request in progress, if there is one.
    /// @param response nullptr if the connection ended without one.
    void on_end(const parsed_response* response);
    /// Body of a request, from its id.
    [[nodiscard]] static std::string body_of(const sent_request& it);

    const clock& time_;
    history& record_;
    std::mt19937_64 random_;
    std::string name_;
    caller_link link_;
    response_reader reader_;
    /// Index in the record of the request that has no response yet.
    std::optional<std::size_t> unanswered_;
    int requests_left_ = 0;
    std::uint64_t next_id_ = 1;
};

} // namespace toucan::soak
