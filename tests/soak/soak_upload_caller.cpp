#include "soak_upload_caller.h"

#include "soak_backend.h"

#include <fmt/format.h>

#include <utility>

namespace toucan::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds request_deadline{4000};
/// The rest of a request follows after 0.2 to 5.2 s, within the idle timeout of the daemons.
constexpr int min_upload_ms = 200;
constexpr int upload_jitter_ms = 5000;
constexpr milliseconds pause{20};
constexpr std::uint64_t object_count = 40;

} // namespace

soak_upload_caller::soak_upload_caller(edge::asio::io_context& loop, const clock& time,
                                       const std::vector<daemon_endpoints>& daemons,
                                       history& record, std::uint64_t seed, std::string name)
    : loop_(loop), time_(time), daemons_(daemons), record_(record), random_(seed),
      name_(std::move(name)), pause_timer_(loop), lookup_(loop, time, daemons)
{
}

void soak_upload_caller::run_after(milliseconds time, void (soak_upload_caller::*action)())
{
    pause_timer_.expires_after(time);
    pause_timer_.async_wait([this, action](edge::error_code ec) {
        if (!ec && !stopped_) {
            (this->*action)();
        }
    });
}

void soak_upload_caller::look_up()
{
    lookup_.start(random_, [this](std::optional<std::size_t> daemon) {
        if (daemon && !stopped_) {
            connect(*daemon);
            return;
        }
        run_after(pause, &soak_upload_caller::look_up);
    });
}

void soak_upload_caller::connect(std::size_t daemon)
{
    daemon_ = daemon;
    connecting_ = std::make_shared<edge::tcp::socket>(loop_);
    connecting_->async_connect(edge::tcp_endpoint(daemons_[daemon].callers),
                               [this, socket = connecting_](edge::error_code ec) {
                                   if (ec || stopped_) {
                                       run_after(pause, &soak_upload_caller::look_up);
                                       return;
                                   }
                                   stream_ = std::make_shared<edge::stream>(std::move(*socket));
                                   reader_.expect("POST");
                                   stream_->start({[this](std::string& in) { on_data(in); },
                                                   [this](edge::stream::ending) {
                                                       on_end(nullptr);
                                                   }});
                                   send_first_part();
                               });
}

void soak_upload_caller::send_first_part()
{
    request_ = {};
    request_.id = fmt::format("{}-{}", name_, next_id_++);
    request_.idempotent = random_() % 2 == 0;
    request_.path =
        fmt::format("{}{}", request_.idempotent ? "/read/" : "/write/", random_() % object_count);
    request_.daemon = daemon_;
    request_.daemon_run = daemons_[daemon_].run;
    auto bytes =
        edge::serialize(http_request{"POST",
                                     request_.path,
                                     {{"Host", "a.example"},
                                      {"X-Attempt-Id", request_.id},
                                      {"Cookie", "X-Affinity-Key=" + request_.path},
                                      {"X-Deadline-Ms", std::to_string(request_deadline.count())}},
                                     "order " + request_.id});
    const auto first = bytes.size() - request_.id.size();
    rest_ = bytes.substr(first);
    bytes.resize(first);
    stream_->write(std::move(bytes));
    run_after(milliseconds(min_upload_ms + static_cast<int>(random_() % upload_jitter_ms)),
              &soak_upload_caller::send_rest);
}

void soak_upload_caller::send_rest()
{
    if (!stream_->open()) {
        return;
    }
    request_.sent = time_.now();
    unanswered_ = record_.requests.size();
    record_.requests.push_back(request_);
    stream_->write(std::exchange(rest_, {}));
}

void soak_upload_caller::on_data(std::string& in)
{
    if (reader_.feed(in) == edge::parse_state::complete) {
        const auto response = reader_.take();
        stream_->close();
        on_end(&response);
    }
}

void soak_upload_caller::on_end(const edge::parsed_response* response)
{
    if (const auto index = std::exchange(unanswered_, std::nullopt)) {
        auto& it = record_.requests[*index];
        it.ended = time_.now();
        it.status = response == nullptr ? 0 : response->response.status;
        it.mismatched =
            *it.status / 100 == 2 &&
            (edge::find_header(response->response.headers, "X-Server-Seal").empty() ||
             response->response.body != expected_body(it.path, it.id, "order " + it.id));
    }
    run_after(pause, &soak_upload_caller::look_up);
}

} // namespace toucan::soak
