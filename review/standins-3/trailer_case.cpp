#include "caller.h"
#include "case_main.h"
#include "configuration.h"
#include "deployment.h"

#include <iostream>

// A caller sends one request whose chunked body ends with many short trailer fields. With TROUBLE=0
// the same number of bytes comes as an ordinary chunk of the body.
namespace review {

namespace {

constexpr milliseconds start_limit{20000};
constexpr milliseconds answer_limit{3000};
constexpr milliseconds caller_pause{50};
constexpr milliseconds watch_interval{10};
constexpr milliseconds calm_time{3000};
constexpr milliseconds watch_time{20000};
/// Fields of 4 bytes: 8 MiB, an eighth of `max_body_bytes`.
constexpr std::size_t fields = 2U << 20U;
constexpr std::size_t block_fields = 16384;

class trailer_case {
public:
    trailer_case(const char* program, const char* folder, bool trouble)
        : trouble_(trouble), machines_(program, folder, platform_, log_, {"rs-a", "rs-b"}, {})
    {
    }

    int run();
    void write_record(const std::string& path) { log_.write(path); }

private:
    void call_in_turn();
    void misbehave();
    /// @return the highest memory that the process has used, in MiB.
    double watch(machine& it);

    bool trouble_;
    record log_;
    store platform_;
    arrivals arrivals_;
    upstream first_{{"i-first", service, "rs-a"}, platform_, arrivals_};
    upstream second_{{"i-second", service, "rs-b"}, platform_, arrivals_};
    deployment machines_;
    std::atomic<bool> stop_{false};
    std::atomic<unsigned> served_{0};
    std::atomic<unsigned> failed_{0};
};

void trailer_case::call_in_turn()
{
    const auto port = machines_.machines().front().callers;
    for (unsigned n = 0; !stop_; ++n) {
        auto to = link::to(port);
        const auto id = "ordinary-" + std::to_string(n);
        const auto sent = elapsed();
        const bool complete =
            to.open() && to.send(request_head("GET", std::string(safe_prefix) + "1", id, ""));
        const auto answer = complete ? to.read(answer_limit, true) : std::nullopt;
        const bool served = answer && answer->status() == 200;
        ++(served ? served_ : failed_);
        log_.add(id + (answer ? " answered " + std::to_string(answer->status()) : " unanswered") +
                 " after " + std::to_string((elapsed() - sent).count()) + " ms");
        std::this_thread::sleep_for(caller_pause);
    }
}

void trailer_case::misbehave()
{
    auto to = link::to(machines_.machines().front().callers);
    to.send(request_head("POST", std::string(unsafe_prefix) + "1", "long-trailer",
                         "Transfer-Encoding: chunked\r\n"));
    std::string block;
    for (std::size_t n = 0; n < block_fields; ++n) {
        block += "a:\r\n";
    }
    const auto blocks = fields / block_fields;
    log_.add("long-trailer sends " + std::to_string(blocks * block.size()) + " bytes as " +
             (trouble_ ? "trailer fields" : "chunks"));
    bool sent = !trouble_ || to.send("5\r\nhello\r\n0\r\n");
    for (std::size_t n = 0; n < blocks && sent; ++n) {
        sent = trouble_ ? to.send(block) : to.send("10000\r\n" + block + "\r\n");
    }
    sent = sent && to.send(trouble_ ? "\r\n" : "0\r\n\r\n");
    log_.add(std::string("long-trailer ") + (sent ? "sent whole" : "cut off while it is sent"));
    const auto answer = to.read(answer_limit, true);
    log_.add("long-trailer " +
             (answer ? "answered " + std::to_string(answer->status()) : "unanswered"));
}

double trailer_case::watch(machine& it)
{
    double highest = 0;
    const auto until = elapsed() + watch_time;
    while (!stop_ && elapsed() < until && !machines_.ended(it)) {
        highest = std::max(highest, deployment::memory_mb(it, "VmHWM"));
        std::this_thread::sleep_for(watch_interval);
    }
    return highest;
}

int trailer_case::run()
{
    platform_.put("op", "config", configuration(7));
    if (!machines_.wait_until_ready(start_limit)) {
        log_.add("the machines are not ready");
        return 2;
    }
    auto& watched = machines_.machines().front();
    std::thread caller([this] { call_in_turn(); });
    std::this_thread::sleep_for(calm_time);
    const auto before = deployment::memory_mb(watched, "VmHWM");
    log_.add("highest memory before: " + std::to_string(before) + " MiB");
    std::thread sender([this] {
        misbehave();
        std::this_thread::sleep_for(calm_time);
        stop_ = true;
    });
    const double highest = watch(watched);
    stop_ = true;
    sender.join();
    caller.join();
    const bool ended = watched.pid <= 0;
    const double limit = machine_settings{}.memory_mb;
    log_.add("highest memory: " + std::to_string(highest) + " MiB of " + std::to_string(limit));
    log_.add("ordinary requests: " + std::to_string(served_) + " served, " +
             std::to_string(failed_) + " not");
    const bool broken = ended || highest > limit;
    log_.add(broken ? "BROKEN" : "held");
    std::cout << (broken ? "BROKEN" : "held") << ": highest memory " << highest << " MiB of "
              << limit << (ended ? ", the process has ended" : "") << std::endl;
    return broken ? 1 : served_ == 0 ? 2 : 0;
}

} // namespace

} // namespace review

int main(int count, char** arguments)
{
    return review::case_main<review::trailer_case>(count, arguments);
}
