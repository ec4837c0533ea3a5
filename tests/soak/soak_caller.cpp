#include "soak_caller.h"

#include "caller_link.h"
#include "soak_backend.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace toucan::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds connect_timeout{1000};
/// Deadline that is sent with a request, and the additional time until the caller aborts it.
constexpr milliseconds request_deadline{2000};
constexpr milliseconds deadline_slack{600};
/// On average, one of this many requests is aborted after 5 to 44 ms.
constexpr std::uint64_t early_abort_interval = 25;
constexpr int requests_per_lookup = 12;
constexpr double max_retry_after_s = 0.6;

} // namespace

soak_caller::soak_caller(edge::asio::io_context& loop, const clock& time,
                         const std::vector<daemon_endpoints>& daemons, history& record,
                         std::uint64_t seed, std::string name)
    : loop_(loop), time_(time), daemons_(daemons), record_(record), random_(seed),
      name_(std::move(name)), pause_timer_(loop), timeout_timer_(loop), lookup_(loop, time, daemons)
{
}

void soak_caller::run_after_pause(std::function<void()> action, int min_ms, int jitter_ms)
{
    pause_timer_.expires_after(
        milliseconds(min_ms + static_cast<int>(random_() % static_cast<unsigned>(jitter_ms))));
    pause_timer_.async_wait([this, action = std::move(action)](edge::error_code ec) {
        if (!ec && !stopped_) {
            action();
        }
    });
}

void soak_caller::look_up()
{
    lookup_.start(random_, [this](std::optional<std::size_t> daemon) {
        if (stopped_) {
            return;
        }
        if (daemon) {
            connect(*daemon);
            return;
        }
        run_after_pause([this] { look_up(); }, 50, 200);
    });
}

void soak_caller::connect(std::size_t daemon)
{
    daemon_ = daemon;
    connection_ = std::make_shared<edge::http_connection>(loop_, daemons_[daemon].callers, time_);
    requests_left_ = requests_per_lookup;
    send_next();
}

request_target soak_caller::next_target()
{
    if (refused_target_) {
        return *std::exchange(refused_target_, std::nullopt);
    }
    return draw_target(random_);
}

void soak_caller::send_next()
{
    if (requests_left_-- == 0) {
        look_up();
        return;
    }
    auto it = make_request(fmt::format("{}-{}", name_, next_id_++), next_target());
    it.daemon = daemon_;
    it.daemon_run = daemons_[daemon_].run;
    it.sent = time_.now();
    http_request message{it.idempotent ? "GET" : "POST", it.path, headers_of(it, request_deadline),
                         it.idempotent ? std::string() : "order " + it.id};
    const auto index = record_.requests.size();
    record_.requests.push_back(it);
    const bool aborts_early = random_() % early_abort_interval == 0;
    timeout_timer_.expires_after(aborts_early ? milliseconds(5 + random_() % 40)
                                              : request_deadline + deadline_slack);
    timeout_timer_.async_wait([this](edge::error_code ec) {
        if (!ec) {
            connection_->abort();
            run_after_pause([this] { look_up(); }, 5, 50);
        }
    });
    connection_->send(message, {connect_timeout}, {},
                      [this, index](const edge::exchange_result& result) {
                          timeout_timer_.cancel();
                          handle_result(index, result);
                      });
}

void soak_caller::handle_result(std::size_t request, const edge::exchange_result& result)
{
    auto& it = record_.requests[request];
    it.ended = time_.now();
    if (result.end == edge::exchange_end::not_sent) {
        run_after_pause([this] { look_up(); }, 50, 200);
        return;
    }
    const auto& response = result.response.response;
    it.status = result.end == edge::exchange_end::response ? response.status : 0;
    if (*it.status / 100 == 2) {
        const auto body = it.idempotent ? std::string() : "order " + it.id;
        it.mismatched = edge::find_header(response.headers, "X-Server-Seal").empty() ||
                        response.body != expected_body(it.path, it.id, body);
    }
    if (it.status == 503) {
        // A caller repeats a refused request when the response tells it to, on a new connection.
        refused_target_ = request_target{it.host, it.path, it.key, it.expects_service};
        const auto after =
            std::atof(std::string(edge::find_header(response.headers, "Retry-After")).c_str());
        const auto pause = static_cast<int>(std::clamp(after, 0.0, max_retry_after_s) * 1000);
        run_after_pause([this] { look_up(); }, pause, 20);
        return;
    }
    if (connection_->reusable()) {
        run_after_pause([this] { send_next(); }, 5, 40);
    }
    else {
        run_after_pause([this] { look_up(); }, 5, 60);
    }
}

} // namespace toucan::soak
