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

/// Caller that takes seconds to send each request, so that a daemon may be stopped in between.
class soak_upload_caller {
public:
    /// @param daemons all daemons, by index; must outlive the caller.
    soak_upload_caller(edge::asio::io_context& loop, const clock& time,
                       const std::vector<daemon_endpoints>& daemons, history& record,
                       std::uint64_t seed, std::string name);

    /// Starts with a lookup.
    void start() { link_.start(); }
    /// Sends no further request; a request in progress continues.
    void stop() { link_.stop(); }

private:
    void send_first_part();
    /// @param rest last bytes of the request.
    void send_rest(sent_request request, std::string rest);
    void on_data(std::string& in);
    /// Records the end of the request, if all of it was sent.
    /// @param response nullptr if the connection ended without one.
    void on_end(const parsed_response* response);
    /// Body of a request, from its id.
    [[nodiscard]] static std::string body_of(const sent_request& it) { return "order " + it.id; }

    const clock& time_;
    history& record_;
    std::mt19937_64 random_;
    std::string name_;
    caller_link link_;
    response_reader reader_;
    /// Index in the record of the request that was sent completely and has no response yet.
    std::optional<std::size_t> unanswered_;
    std::uint64_t next_id_ = 1;
};

} // namespace toucan::soak
