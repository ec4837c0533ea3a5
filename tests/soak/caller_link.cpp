#include "caller_link.h"

#include "http_message.h"
#include "soak_backend.h"

#include <utility>

namespace toucan::soak {

namespace {

using std::chrono::milliseconds;

/// A pause takes min_pause_ms plus less than pause_jitter_ms.
constexpr int min_pause_ms = 10;
constexpr int pause_jitter_ms = 60;

} // namespace

caller_link::caller_link(edge::asio::io_context& loop, const clock& time,
                         const std::vector<daemon_endpoints>& daemons, std::mt19937_64& random,
                         std::optional<std::size_t> delay_class, events hooks)
    : loop_(loop), daemons_(daemons), random_(random), delay_class_(delay_class),
      hooks_(std::move(hooks)), timer_(loop), lookup_(loop, time, daemons)
{
}

void caller_link::run_after(milliseconds time, std::function<void()> action)
{
    timer_.expires_after(time);
    timer_.async_wait([this, action = std::move(action)](edge::error_code ec) {
        if (!ec && !stopped_) {
            action();
        }
    });
}

void caller_link::run_after_pause(std::function<void()> action)
{
    const auto jitter = static_cast<int>(random_() % pause_jitter_ms);
    run_after(milliseconds(min_pause_ms + jitter), std::move(action));
}

void caller_link::look_up()
{
    lookup_.start(random_, [this](std::optional<std::size_t> daemon) {
        if (daemon && !stopped_) {
            connect(*daemon);
            return;
        }
        run_after_pause([this] { look_up(); });
    });
}

void caller_link::connect(std::size_t daemon)
{
    daemon_ = daemon;
    connecting_ = std::make_shared<edge::tcp::socket>(loop_);
    const auto& endpoints = daemons_[daemon];
    const auto address =
        delay_class_ ? endpoints.delayed_callers.at(*delay_class_) : endpoints.callers;
    connecting_->async_connect(edge::tcp_endpoint(address),
                               [this, socket = connecting_](edge::error_code ec) {
                                   if (ec || stopped_) {
                                       run_after_pause([this] { look_up(); });
                                       return;
                                   }
                                   stream_ = std::make_shared<edge::stream>(std::move(*socket));
                                   stream_->start({hooks_.data, [this](edge::stream::ending) {
                                                       hooks_.ended();
                                                       run_after_pause([this] { look_up(); });
                                                   }});
                                   hooks_.connected();
                               });
}

void caller_link::reconnect()
{
    stream_->close();
    run_after_pause([this] { look_up(); });
}

bool caller_link::send(std::string bytes)
{
    if (!stream_->open()) {
        return false;
    }
    stream_->write(std::move(bytes));
    return true;
}

sent_request caller_link::new_request(std::string id, const request_target& to) const
{
    auto it = make_request(std::move(id), to);
    it.daemon = daemon_;
    it.daemon_run = daemons_[daemon_].run;
    return it;
}

sent_request make_request(std::string id, const request_target& to)
{
    sent_request it;
    it.id = std::move(id);
    it.path = to.path;
    it.host = to.host;
    it.key = to.key;
    it.expects_service = to.expects_service;
    it.idempotent = it.path.rfind("/write/", 0) != 0;
    return it;
}

std::vector<http_header> headers_of(const sent_request& it, milliseconds deadline)
{
    std::vector<http_header> headers = {{"Host", it.host},
                                        {"X-Attempt-Id", it.id},
                                        {"Cookie", "X-Affinity-Key=" + it.path},
                                        {"X-Deadline-Ms", std::to_string(deadline.count())}};
    if (it.key) {
        headers.push_back({"Authorization", "Token " + *it.key});
    }
    return headers;
}

void record_end(sent_request& it, const parsed_response* response, const std::string& body,
                steady_time now)
{
    it.ended = now;
    it.status = response == nullptr ? 0 : response->response.status;
    if (*it.status / 100 != 2) {
        return;
    }
    const auto& headers = response->response.headers;
    it.mismatched = edge::find_header(headers, "X-Server-Seal").empty() ||
                    edge::find_header(headers, "X-Attempt-Id") != it.id ||
                    response->response.body != expected_body(it.path, it.id, body);
}

std::string message_of(const sent_request& it, const std::string& method, const std::string& body,
                       milliseconds deadline)
{
    return edge::serialize(http_request{method, it.path, headers_of(it, deadline), body});
}

} // namespace toucan::soak
