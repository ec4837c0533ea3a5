#include "soak_upload_caller.h"

#include <fmt/format.h>

#include <utility>

namespace toucan::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds request_deadline{4000};
/// The rest of a request follows after 0.2 to 5.2 s, within the idle timeout of the daemons.
constexpr int min_upload_ms = 200;
constexpr int upload_jitter_ms = 5000;
/// Last bytes of a request, which follow later.
constexpr std::size_t rest_bytes = 4;
constexpr std::uint64_t object_count = 40;

} // namespace

soak_upload_caller::soak_upload_caller(edge::asio::io_context& loop, const clock& time,
                                       const std::vector<daemon_endpoints>& daemons,
                                       history& record, std::uint64_t seed, std::string name)
    : time_(time), record_(record), random_(seed), name_(std::move(name)),
      link_(loop, time, daemons, random_, std::nullopt,
            {[this] { send_first_part(); }, [this](std::string& in) { on_data(in); },
             [this] {
                 on_end(nullptr);
             }})
{
}

void soak_upload_caller::send_first_part()
{
    reader_.expect("POST");
    auto request = link_.new_request(
        fmt::format("{}-{}", name_, next_id_++),
        draw_served_target(random_, fmt::format("{}{}", random_() % 2 == 0 ? "/read/" : "/write/",
                                                random_() % object_count)));
    request.began = time_.now();
    auto bytes = message_of(request, "POST", body_of(request), request_deadline);
    auto rest = bytes.substr(bytes.size() - rest_bytes);
    bytes.resize(bytes.size() - rest_bytes);
    link_.send(std::move(bytes));
    const auto jitter = static_cast<int>(random_() % upload_jitter_ms);
    link_.run_after(
        milliseconds(min_upload_ms + jitter),
        [this, request = std::move(request), rest = std::move(rest)] { send_rest(request, rest); });
}

void soak_upload_caller::send_rest(sent_request request, std::string rest)
{
    request.sent = time_.now();
    // The connection may have ended when the time had passed already; a lookup follows.
    if (link_.send(std::move(rest))) {
        unanswered_ = record_.requests.size();
        record_.requests.push_back(std::move(request));
    }
}

void soak_upload_caller::on_data(std::string& in)
{
    if (reader_.feed(in) == parse_state::complete) {
        const auto response = reader_.take();
        on_end(&response);
        link_.reconnect();
    }
}

void soak_upload_caller::on_end(const parsed_response* response)
{
    if (const auto index = std::exchange(unanswered_, std::nullopt)) {
        auto& it = record_.requests[*index];
        record_end(it, response, body_of(it), time_.now());
    }
}

} // namespace toucan::soak
