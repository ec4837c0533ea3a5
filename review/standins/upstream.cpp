#include "upstream.h"

#include <cstdlib>
#include <functional>

namespace toucan::review {

namespace {

constexpr milliseconds idle_close{10000};
constexpr milliseconds poll_step{5};

order read_order(const std::string& target)
{
    order it;
    if (const auto work = query_field(target, "work"); !work.empty()) {
        it.work = milliseconds(std::strtoll(work.c_str(), nullptr, 10));
    }
    if (const auto size = query_field(target, "size"); !size.empty()) {
        it.size = std::strtoull(size.c_str(), nullptr, 10);
    }
    if (const auto status = query_field(target, "status"); !status.empty()) {
        it.status = std::atoi(status.c_str());
    }
    return it;
}

} // namespace

std::string answer_body(const std::string& attempt_id, std::size_t size)
{
    std::string body;
    body.reserve(size + attempt_id.size() + 1);
    while (body.size() < size) {
        body += attempt_id + '.';
    }
    body.resize(size);
    return body;
}

upstream::upstream(settings it, store& platform, record& out)
    : settings_(std::move(it)), platform_(platform), record_(out),
      born_ms_(std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count())
{
    server_ = std::make_unique<server>(settings_.at, [this](connection& peer) { serve(peer); });
    platform_.put("servers", settings_.id, entry("ready"));
}

nlohmann::json upstream::entry(const std::string& state) const
{
    return {{"service", settings_.service},
            {"address", settings_.at.text()},
            {"zone", settings_.zone},
            {"version", "v1"},
            {"slots", settings_.slots},
            {"state", state},
            {"cold_remaining_s", settings_.cold_s},
            {"sequence", 1},
            {"born", born_ms_}};
}

void upstream::drain()
{
    platform_.put("servers", settings_.id, entry("draining"));
    record_.line("the store has accepted that " + settings_.id + " is draining");
}

void upstream::exit()
{
    record_.line("exit: " + settings_.id);
    server_.reset();
    platform_.remove("servers", settings_.id);
}

std::vector<std::string> upstream::runs_since(steady_time from)
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> ids;
    for (const auto& [at, id] : starts_) {
        if (at > from) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::size_t upstream::runs(const std::string& attempt_id)
{
    const std::lock_guard lock(mutex_);
    const auto it = runs_.find(attempt_id);
    return it == runs_.end() ? 0 : it->second;
}

bool upstream::answered(const std::string& attempt_id)
{
    const std::lock_guard lock(mutex_);
    const auto it = answered_.find(attempt_id);
    return it != answered_.end() && it->second;
}

void upstream::serve(connection& peer)
{
    message request;
    while (peer.read(request, idle_close) == read_end::complete) {
        const auto reply = answer(request, peer);
        if (!reply || !peer.send(format_message(*reply))) {
            return;
        }
        const std::lock_guard lock(mutex_);
        answered_[request.header("X-Attempt-Id")] = true;
    }
}

std::vector<std::pair<std::string, std::string>>
upstream::answer_headers(const std::string& attempt_id) const
{
    return {{"X-Attempt-Id", attempt_id},
            {"X-Instance-Id", settings_.id},
            {"Keep-Alive", "timeout=10"}};
}

std::optional<message> upstream::answer(const message& request, const connection& peer)
{
    const auto id = request.header("X-Attempt-Id");
    if (request.target() == "/health") {
        return message{"HTTP/1.1 200 OK", answer_headers(id), {}};
    }
    auto headers = answer_headers(id);
    headers.emplace_back("X-Not-Executed", "1");
    const auto expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != settings_.id) {
        return message{"HTTP/1.1 421 Misdirected Request", headers, {}};
    }
    if (id.empty()) {
        return message{"HTTP/1.1 400 Bad Request", headers, {}};
    }
    {
        std::unique_lock lock(mutex_);
        if (running_ >= settings_.slots && waiting_ >= settings_.queue) {
            return message{"HTTP/1.1 503 Service Unavailable", headers, {}};
        }
        ++waiting_;
        while (running_ >= settings_.slots && !peer.peer_closed()) {
            released_.wait_for(lock, poll_step);
        }
        --waiting_;
        if (peer.peer_closed()) {
            return std::nullopt;
        }
        ++running_;
        ++runs_[id];
        starts_.emplace_back(steady_clock::now(), id);
    }
    auto reply = run(request, peer);
    {
        const std::lock_guard lock(mutex_);
        --running_;
    }
    released_.notify_all();
    return reply;
}

std::optional<message> upstream::run(const message& request, const connection& peer)
{
    const auto id = request.header("X-Attempt-Id");
    const auto what = read_order(request.target());
    const auto started = steady_clock::now();
    const auto limit = request.header("X-Deadline-Ms");
    const auto deadline = started + milliseconds(limit.empty() ? 60000 : std::atoll(limit.c_str()));
    record_.line("run: " + settings_.id + " id=" + id + " " + request.start +
                 " body=" + std::to_string(request.body.size()) + " X-Deadline-Ms=" + limit);
    while (steady_clock::now() < started + what.work) {
        if (peer.peer_closed()) {
            record_.line("run dropped, its connection closed: " + settings_.id + " id=" + id);
            return std::nullopt;
        }
        if (steady_clock::now() >= deadline) {
            break;
        }
        std::this_thread::sleep_for(poll_step);
    }
    const bool in_time = steady_clock::now() < deadline;
    const int status = in_time ? what.status : 504;
    auto headers = answer_headers(id);
    headers.emplace_back("X-Server-Seal",
                         settings_.id + "." + std::to_string(std::hash<std::string>()(id)));
    headers.emplace_back("X-Server-Load", "1,0," + std::to_string(settings_.slots));
    record_.line("run ended: " + settings_.id + " id=" + id + " status=" + std::to_string(status));
    return message{"HTTP/1.1 " + std::to_string(status) + " Answer", std::move(headers),
                   answer_body(id, status == 200 ? what.size : 0)};
}

} // namespace toucan::review
