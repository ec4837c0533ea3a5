#include "soak_idle_caller.h"

#include <fmt/format.h>

#include <utility>

namespace toucan::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds request_deadline{2000};
/// A connection is idle for 0.2 to 5 s, within the idle timeout of the daemons.
constexpr int min_idle_ms = 200;
constexpr int idle_jitter_ms = 4800;
/// A new lookup follows, so that daemons that were restarted get idle connections too.
constexpr int requests_per_connection = 8;
constexpr std::uint64_t object_count = 40;

} // namespace

soak_idle_caller::soak_idle_caller(edge::asio::io_context& loop, const clock& time,
                                   const std::vector<daemon_endpoints>& daemons, history& record,
                                   std::uint64_t seed, std::string name, std::size_t delay_class)
    : time_(time), record_(record), random_(seed), name_(std::move(name)),
      link_(loop, time, daemons, random_, delay_class,
            {[this] {
                 requests_left_ = requests_per_connection;
                 send_request();
             },
             [this](std::string& in) { on_data(in); },
             [this] {
                 on_end(nullptr);
             }})
{
}

void soak_idle_caller::send_request()
{
    const bool idempotent = random_() % 2 == 0;
    auto it = link_.new_request(
        fmt::format("{}-{}", name_, next_id_++),
        draw_served_target(random_, fmt::format("{}{}", idempotent ? "/read/" : "/write/",
                                                random_() % object_count)));
    const auto* method = idempotent ? "GET" : "POST";
    reader_.expect(method);
    it.sent = time_.now();
    // The connection may have ended when the pause had expired already; a lookup follows.
    if (link_.send(message_of(it, method, body_of(it), request_deadline))) {
        unanswered_ = record_.requests.size();
        record_.requests.push_back(std::move(it));
    }
}

void soak_idle_caller::on_data(std::string& in)
{
    if (reader_.feed(in) != parse_state::complete) {
        return;
    }
    const auto response = reader_.take();
    on_end(&response);
    if (!response.keep_alive || --requests_left_ == 0) {
        link_.reconnect();
        return;
    }
    const auto jitter = static_cast<int>(random_() % idle_jitter_ms);
    link_.run_after(milliseconds(min_idle_ms + jitter), [this] { send_request(); });
}

void soak_idle_caller::on_end(const parsed_response* response)
{
    if (const auto index = std::exchange(unanswered_, std::nullopt)) {
        auto& it = record_.requests[*index];
        record_end(it, response, body_of(it), time_.now());
    }
}

std::string soak_idle_caller::body_of(const sent_request& it)
{
    return it.idempotent ? std::string() : "order " + it.id;
}

} // namespace toucan::soak
