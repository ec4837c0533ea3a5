#include "soak_caller.h"

#include "judge.h"
#include "soak_backend.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace toucan::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds connect_limit{1000};
constexpr milliseconds look_up_limit{1000};
/// What the caller says that it waits, and how much longer it does wait.
constexpr milliseconds patience{2000};
constexpr milliseconds spare_patience{600};
/// One request in so many is given up early.
constexpr std::uint64_t give_up_every = 25;
constexpr int requests_per_look_up = 12;
constexpr std::uint64_t objects = 40;

} // namespace

soak_caller::soak_caller(edge::asio::io_context& loop, const clock& time,
                         const std::vector<daemon_place>& daemons, history& record,
                         std::uint64_t seed, std::string name)
    : loop_(loop), time_(time), daemons_(daemons), record_(record), random_(seed),
      name_(std::move(name)), pause_(loop), limit_(loop)
{
}

void soak_caller::again(std::function<void()> what, int least_ms, int further_ms)
{
    pause_.expires_after(
        milliseconds(least_ms + static_cast<int>(random_() % static_cast<unsigned>(further_ms))));
    pause_.async_wait([this, what = std::move(what)](edge::error_code ec) {
        if (!ec && !stopped_) {
            what();
        }
    });
}

void soak_caller::look_up()
{
    const auto& asked = daemons_[random_() % daemons_.size()];
    directory_ = std::make_unique<edge::pooled_http_client>(loop_, time_, asked.directory);
    directory_->send({"GET",
                      fmt::format("/toucanpoint/resolve?name=a.example&region={}&zone={}",
                                  asked.region, asked.failure_domain),
                      {},
                      {}},
                     look_up_limit, [this](const edge::http_result& it) {
                         if (it.response && it.response->status == 200) {
                             const auto body = it.response->body;
                             // Later: the client that called this is replaced by the next look-up.
                             edge::asio::post(loop_, [this, body] { connect(body); });
                             return;
                         }
                         again([this] { look_up(); }, 50, 200);
                     });
}

void soak_caller::connect(const std::string& body)
{
    const auto addresses = nlohmann::json::parse(body).at("addresses");
    const auto chosen = addresses.at(random_() % addresses.size()).get<std::string>();
    const auto it = std::find_if(daemons_.begin(), daemons_.end(), [&](const daemon_place& each) {
        return each.callers.to_string() == chosen;
    });
    daemon_ = static_cast<std::size_t>(it - daemons_.begin());
    connection_ = std::make_shared<edge::http_connection>(loop_, it->callers, time_);
    requests_left_ = requests_per_look_up;
    send_next();
}

std::string soak_caller::draw_path()
{
    static constexpr const char* prefixes[] = {"/read/", "/read/", "/write/", home_prefix,
                                               moved_prefix};
    return fmt::format("{}{}", prefixes[random_() % 5], random_() % objects);
}

void soak_caller::send_next()
{
    if (requests_left_-- == 0) {
        look_up();
        return;
    }
    sent_request it;
    it.id = fmt::format("{}-{}", name_, next_id_++);
    it.path = draw_path();
    it.idempotent = it.path.rfind("/write/", 0) != 0;
    it.daemon = daemon_;
    it.daemon_run = daemons_[daemon_].run;
    it.sent = time_.now();
    http_request message{it.idempotent ? "GET" : "POST",
                         it.path,
                         {{"Host", "a.example"},
                          {"X-Attempt-Id", it.id},
                          {"Cookie", "X-Affinity-Key=" + it.path},
                          {"X-Deadline-Ms", std::to_string(patience.count())}},
                         it.idempotent ? std::string() : "order " + it.id};
    const auto index = record_.requests.size();
    record_.requests.push_back(it);
    const bool gives_up = random_() % give_up_every == 0;
    limit_.expires_after(gives_up ? milliseconds(5 + random_() % 40) : patience + spare_patience);
    limit_.async_wait([this](edge::error_code ec) {
        if (!ec) {
            connection_->abort();
            again([this] { look_up(); }, 5, 50);
        }
    });
    connection_->send(message, connect_limit, {},
                      [this, index](const edge::exchange_result& result) {
                          limit_.cancel();
                          ended(index, result);
                      });
}

void soak_caller::ended(std::size_t request, const edge::exchange_result& result)
{
    auto& it = record_.requests[request];
    it.ended = time_.now();
    if (result.end == edge::exchange_end::not_sent) {
        again([this] { look_up(); }, 50, 200);
        return;
    }
    const auto& response = result.response.response;
    it.status = result.end == edge::exchange_end::response ? response.status : 0;
    if (*it.status / 100 == 2) {
        const auto body = it.idempotent ? std::string() : "order " + it.id;
        it.mixed = edge::find_header(response.headers, "X-Server-Seal").empty() ||
                   response.body != expected_body(it.path, it.id, body);
    }
    if (connection_->reusable()) {
        again([this] { send_next(); }, 5, 40);
    }
    else {
        again([this] { look_up(); }, 5, 60);
    }
}

} // namespace toucan::soak
