#include "soak_pipeline_caller.h"

#include <fmt/format.h>

#include <utility>

namespace toucan::soak {

namespace {

constexpr std::chrono::milliseconds request_deadline{2000};
constexpr std::size_t max_pipelined = 5;
constexpr std::uint64_t object_count = 40;

} // namespace

soak_pipeline_caller::soak_pipeline_caller(edge::asio::io_context& loop, const clock& time,
                                           const std::vector<daemon_endpoints>& daemons,
                                           history& record, std::uint64_t seed, std::string name,
                                           std::optional<std::size_t> delay_class)
    : time_(time), record_(record), random_(seed), name_(std::move(name)),
      link_(loop, time, daemons, random_, delay_class,
            {[this] {
                 reader_.expect("GET");
                 send_requests();
             },
             [this](std::string& in) { on_data(in); },
             [this] {
                 on_end();
             }})
{
}

void soak_pipeline_caller::send_requests()
{
    const auto count = 2 + random_() % (max_pipelined - 1);
    std::vector<sent_request> requests;
    std::string bytes;
    for (std::size_t n = 0; n < count; ++n) {
        auto it = link_.new_request(
            fmt::format("{}-{}", name_, next_id_++),
            draw_served_target(random_, fmt::format("/read/{}", random_() % object_count)));
        it.sent = time_.now();
        it.pipelined = n > 0;
        bytes += message_of(it, "GET", {}, request_deadline);
        requests.push_back(std::move(it));
    }
    // The connection may have ended when the pause had expired already; a lookup follows.
    if (!link_.send(std::move(bytes))) {
        return;
    }
    for (auto& it : requests) {
        unanswered_.push_back(record_.requests.size());
        record_.requests.push_back(std::move(it));
    }
}

void soak_pipeline_caller::on_data(std::string& in)
{
    while (!unanswered_.empty() && reader_.feed(in) == parse_state::complete) {
        const auto response = reader_.take();
        reader_.expect("GET");
        record_end(record_.requests[unanswered_.front()], &response, {}, time_.now());
        unanswered_.pop_front();
        if (!response.keep_alive) {
            on_end();
            link_.reconnect();
            return;
        }
    }
    if (unanswered_.empty()) {
        link_.run_after_pause([this] { send_requests(); });
    }
}

void soak_pipeline_caller::on_end()
{
    for (const auto index : std::exchange(unanswered_, {})) {
        record_end(record_.requests[index], nullptr, {}, time_.now());
    }
}

} // namespace toucan::soak
