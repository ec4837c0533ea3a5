#include "upstream.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace review {

namespace {

constexpr milliseconds idle_limit{10000};
constexpr milliseconds check_in_interval{1500};
/// Steps through the unit interval that are spread evenly.
constexpr double golden_step = 0.6180339887498949;

} // namespace

void arrivals::add(arrival it)
{
    const std::lock_guard lock(mutex_);
    all_.push_back(std::move(it));
}

std::vector<arrival> arrivals::all()
{
    const std::lock_guard lock(mutex_);
    return all_;
}

upstream::upstream(upstream_settings settings, store& platform, arrivals& all)
    : settings_(std::move(settings)), platform_(platform), all_(all), started_(elapsed()),
      born_ms_(std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
      listener_([this](link& from) { serve(from); }, settings_.port),
      checking_in_([this] { check_in_forever(); })
{
}

milliseconds upstream::cold_left() const
{
    return std::max(milliseconds(0), started_ + settings_.cold - elapsed());
}

void upstream::check_in()
{
    const nlohmann::json entry = {
        {"service", settings_.service},
        {"address", "127.0.0.1:" + std::to_string(port())},
        {"zone", settings_.zone},
        {"version", "v1"},
        {"slots", settings_.slots},
        {"state", "ready"},
        {"cold_remaining_s", static_cast<double>(cold_left().count()) / 1e3},
        {"sequence", ++sequence_},
        {"born", born_ms_}};
    platform_.put("servers", settings_.id, entry.dump());
}

void upstream::check_in_forever()
{
    std::unique_lock lock(mutex_);
    while (!stopped_ && !leaving_) {
        check_in();
        changed_.wait_for(lock, check_in_interval, [&] { return stopped_ || leaving_; });
    }
}

bool upstream::take_slot()
{
    std::unique_lock lock(mutex_);
    if (running_ >= settings_.slots && waiting_ >= settings_.queue) {
        return false;
    }
    ++waiting_;
    changed_.wait(lock, [&] { return stopped_ || running_ < settings_.slots; });
    --waiting_;
    ++running_;
    return true;
}

void upstream::release_slot()
{
    const std::lock_guard lock(mutex_);
    --running_;
    changed_.notify_all();
}

std::string upstream::head(const std::string& status, const message& request) const
{
    return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\n" +
           (leaving_ ? "Server-Leaving: 1\r\n" : "");
}

void upstream::pause_reading(const link& from)
{
    if (settings_.read_pause.count() == 0) {
        return;
    }
    const auto head = from.peek(idle_limit);
    const std::string name = "X-Attempt-Id: ";
    const auto id = head.find(name);
    if (id == std::string::npos) {
        return;
    }
    const auto begin = id + name.size();
    arrival it;
    it.at = elapsed();
    it.id = head.substr(begin, head.find('\r', begin) - begin);
    it.upstream = settings_.id;
    it.target = "(head)";
    it.ran = true;
    all_.add(std::move(it));
    std::this_thread::sleep_for(settings_.read_pause);
}

void upstream::serve(link& from)
{
    bool extra_due = false;
    pause_reading(from);
    while (const auto request = from.read(idle_limit, false)) {
        answer(from, *request, extra_due);
        pause_reading(from);
    }
}

void upstream::answer(link& to, const message& request, bool& extra_due)
{
    arrival it{elapsed(),
               request.header("X-Attempt-Id"),
               settings_.id,
               request.method(),
               request.target(),
               request.body,
               false,
               cold_left().count() > 0};
    const auto expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != settings_.id) {
        all_.add(std::move(it));
        to.send(head("421 Misdirected Request", request) + "X-Instance-Id: " + settings_.id +
                "\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    const double position = golden_step * drawn_++;
    const bool refused = position - std::floor(position) < refused_share_;
    if (refused || !take_slot()) {
        all_.add(std::move(it));
        to.send(head("503 Service Unavailable", request) +
                "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    it.ran = true;
    all_.add(it);
    std::this_thread::sleep_for(settings_.work / 2);
    if (std::exchange(extra_due, false)) {
        to.send(settings_.extras.at(extras_sent_++ % settings_.extras.size()));
    }
    std::this_thread::sleep_for(settings_.work / 2);
    release_slot();
    const auto body = settings_.id + " " + request.method() + " " + request.target() + " " +
                      std::to_string(request.body.size());
    to.send(head("200 OK", request) + "X-Server-Seal: " + settings_.id +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    extra_due = settings_.extra_every > 0 && ++answered_ % settings_.extra_every == 0;
}

void upstream::leave()
{
    {
        const std::lock_guard lock(mutex_);
        leaving_ = true;
        changed_.notify_all();
    }
    remove_entry();
}

void upstream::remove_entry()
{
    platform_.remove("servers", settings_.id);
}

void upstream::stop()
{
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(stopped_, true)) {
            return;
        }
        changed_.notify_all();
    }
    checking_in_.join();
    listener_.stop();
}

} // namespace review
