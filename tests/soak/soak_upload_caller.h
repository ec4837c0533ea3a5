#pragma once

#include "daemon_lookup.h"
#include "history.h"
#include "http_message.h"
#include "stream.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace toucan::soak {

/// Caller that takes seconds to send each request, so that a daemon may be stopped in between.
class soak_upload_caller {
public:
    /// @param daemons all daemons, by index; must outlive the caller.
    soak_upload_caller(edge::asio::io_context& loop, const clock& time,
                       const std::vector<daemon_endpoints>& daemons, history& record,
                       std::uint64_t seed, std::string name);

    /// Starts with a lookup.
    void start() { look_up(); }
    /// Sends no further request; a request in progress continues.
    void stop() { stopped_ = true; }

private:
    void look_up();
    void connect(std::size_t daemon);
    void send_first_part();
    void send_rest();
    void on_data(std::string& in);
    /// Records the end of the request, if all of it was sent, and goes on with a lookup.
    /// @param response nullptr if the connection ended without one.
    void on_end(const edge::parsed_response* response);
    void run_after(std::chrono::milliseconds time, void (soak_upload_caller::*action)());

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
    /// Request that is being sent, and the bytes of it that are still to be sent.
    sent_request request_;
    std::string rest_;
    /// Index in the record of the request that was sent completely.
    std::optional<std::size_t> unanswered_;
    std::size_t daemon_ = 0;
    std::uint64_t next_id_ = 1;
    bool stopped_ = false;
};

} // namespace toucan::soak
