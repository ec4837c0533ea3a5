#include "soak_pipeline_caller.h"

#include "soak_backend.h"

#include <fmt/format.h>

#include <utility>

namespace toucan::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds request_deadline{2000};
constexpr std::size_t max_pipelined = 5;
constexpr std::uint64_t object_count = 40;

} // namespace

soak_pipeline_caller::soak_pipeline_caller(edge::asio::io_context& loop, const clock& time,
                                           const std::vector<daemon_endpoints>& daemons,
                                           history& record, std::uint64_t seed, std::string name)
    : loop_(loop), time_(time), daemons_(daemons), record_(record), random_(seed),
      name_(std::move(name)), pause_timer_(loop), lookup_(loop, time, daemons)
{
}

void soak_pipeline_caller::run_after_pause(void (soak_pipeline_caller::*action)())
{
    pause_timer_.expires_after(milliseconds(10 + random_() % 60));
    pause_timer_.async_wait([this, action](edge::error_code ec) {
        if (!ec && !stopped_) {
            (this->*action)();
        }
    });
}

void soak_pipeline_caller::look_up()
{
    lookup_.start(random_, [this](std::optional<std::size_t> daemon) {
        if (daemon && !stopped_) {
            connect(*daemon);
            return;
        }
        run_after_pause(&soak_pipeline_caller::look_up);
    });
}

void soak_pipeline_caller::connect(std::size_t daemon)
{
    daemon_ = daemon;
    connecting_ = std::make_shared<edge::tcp::socket>(loop_);
    connecting_->async_connect(edge::tcp_endpoint(daemons_[daemon].callers),
                               [this, socket = connecting_](edge::error_code ec) {
                                   if (ec || stopped_) {
                                       run_after_pause(&soak_pipeline_caller::look_up);
                                       return;
                                   }
                                   stream_ = std::make_shared<edge::stream>(std::move(*socket));
                                   reader_.expect("GET");
                                   stream_->start({[this](std::string& in) { on_data(in); },
                                                   [this](edge::stream::ending) {
                                                       on_end();
                                                   }});
                                   send_requests();
                               });
}

void soak_pipeline_caller::send_requests()
{
    if (!stream_->open()) {
        // The connection ended when the pause had expired already; a look-up follows.
        return;
    }
    const auto count = 2 + random_() % (max_pipelined - 1);
    std::string bytes;
    for (std::size_t n = 0; n < count; ++n) {
        sent_request it;
        it.id = fmt::format("{}-{}", name_, next_id_++);
        it.path = fmt::format("/read/{}", random_() % object_count);
        it.daemon = daemon_;
        it.daemon_run = daemons_[daemon_].run;
        it.sent = time_.now();
        it.pipelined = n > 0;
        bytes += edge::serialize(
            http_request{"GET",
                         it.path,
                         {{"Host", "a.example"},
                          {"X-Attempt-Id", it.id},
                          {"Cookie", "X-Affinity-Key=" + it.path},
                          {"X-Deadline-Ms", std::to_string(request_deadline.count())}},
                         {}});
        unanswered_.push_back(record_.requests.size());
        record_.requests.push_back(std::move(it));
    }
    stream_->write(std::move(bytes));
}

void soak_pipeline_caller::on_data(std::string& in)
{
    while (!unanswered_.empty() && reader_.feed(in) == edge::parse_state::complete) {
        const auto response = reader_.take();
        reader_.expect("GET");
        handle_response(response);
        if (!response.keep_alive) {
            stream_->close();
            on_end();
            return;
        }
    }
    if (unanswered_.empty()) {
        run_after_pause(&soak_pipeline_caller::send_requests);
    }
}

void soak_pipeline_caller::handle_response(const edge::parsed_response& response)
{
    auto& it = record_.requests[unanswered_.front()];
    unanswered_.pop_front();
    it.ended = time_.now();
    it.status = response.response.status;
    if (*it.status / 100 == 2) {
        it.mismatched = edge::find_header(response.response.headers, "X-Server-Seal").empty() ||
                        edge::find_header(response.response.headers, "X-Attempt-Id") != it.id ||
                        response.response.body != expected_body(it.path, it.id, std::string());
    }
}

void soak_pipeline_caller::on_end()
{
    for (const auto index : std::exchange(unanswered_, {})) {
        auto& it = record_.requests[index];
        it.ended = time_.now();
        it.status = 0;
    }
    run_after_pause(&soak_pipeline_caller::look_up);
}

} // namespace toucan::soak
