// Case 7: a crowd of callers whose requests are legal in size but made of very many short fields.
#include "rig.h"

#include <array>

namespace {

constexpr int crowd_connections = 48;
constexpr double phase_s = 20;
constexpr double ordinary_interval_s = 0.1;
constexpr double route_timeout_s = 2.5;
constexpr double answer_slack_s = 0.5;
constexpr double caller_limit_s = 6;
constexpr double question_limit_s = 1;
constexpr std::size_t list_elements = 14000;
constexpr std::size_t empty_fields = 230;

/// A request of about 15,000 bytes; the limit on headers is 16,384 bytes. Its path has no route.
std::string crowd_request(bool many_fields)
{
    std::string head = std::string("GET /nowhere/x HTTP/1.1\r\nHost: ") + rig::deployment::host +
                       "\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 2000\r\n";
    if (!many_fields) {
        return head + "X-Long: " + std::string(list_elements + 4 * empty_fields, 'a') + "\r\n\r\n";
    }
    head += "Connection: " + std::string(list_elements, ',') + "a\r\n";
    for (std::size_t n = 0; n < empty_fields; ++n) {
        head += "a:\r\n";
    }
    return head + "\r\n";
}

struct counts {
    std::atomic<int> crowd_sent{0};
    std::atomic<int> crowd_answered{0};
    std::atomic<int> ordinary{0};
    std::atomic<int> answered{0};
    std::atomic<int> open_at_timeout{0};
    std::atomic<int> open_after_slack{0};
    std::atomic<int> questions{0};
    std::atomic<int> ready{0};
};

/// Sends one request after another, each after the answer to the one before.
void press(const rig::address& to, const std::string& request, double until, counts& all)
{
    int fd = -1;
    std::string buf;
    rig::message answer;
    while (rig::now_s() < until) {
        fd = fd < 0 ? rig::connect_to(to) : fd;
        if (fd < 0) {
            rig::sleep_s(0.1);
            continue;
        }
        ++all.crowd_sent;
        if (!rig::send_all(fd, request) ||
            rig::read_message(fd, buf, answer, until) != rig::read_end::complete) {
            ::close(fd);
            fd = -1;
            buf.clear();
            continue;
        }
        ++all.crowd_answered;
    }
    ::close(fd);
}

void ask_ordinary(const rig::address& to, int number, rig::record& log, counts& all)
{
    const double start = rig::now_s();
    const int fd = rig::connect_to(to);
    std::string buf;
    rig::message answer;
    const auto id = "ordinary-" + std::to_string(number);
    const bool complete =
        fd >= 0 &&
        rig::send_all(fd, "GET /check/" + std::to_string(number) +
                              " HTTP/1.1\r\nHost: " + rig::deployment::host +
                              "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 6000\r\n\r\n") &&
        rig::read_message(fd, buf, answer, start + caller_limit_s) == rig::read_end::complete;
    ::close(fd);
    const double took = rig::now_s() - start;
    ++all.ordinary;
    all.answered += complete ? 1 : 0;
    all.open_at_timeout += !complete || took > route_timeout_s ? 1 : 0;
    all.open_after_slack += !complete || took > route_timeout_s + answer_slack_s ? 1 : 0;
    log.line("ordinary id=%s status=%d after_s=%.3f", id.c_str(), complete ? answer.status() : 0,
             took);
}

void ask_ready(const rig::entry& of, double until, rig::record& log, counts& all)
{
    while (rig::now_s() < until) {
        const double start = rig::now_s();
        const bool ready = of.ready();
        ++all.questions;
        all.ready += ready ? 1 : 0;
        log.line("ready question answered_200=%d after_s=%.3f", ready ? 1 : 0,
                 rig::now_s() - start);
        rig::sleep_s(std::max(0.0, question_limit_s - (rig::now_s() - start)));
    }
}

void run_phase(rig::deployment& it, const char* name, bool many_fields, counts& all)
{
    auto& target = *it.daemons.front();
    const double until = rig::now_s() + phase_s;
    const double before = target.processor_s();
    const auto request = crowd_request(many_fields);
    std::vector<std::thread> threads;
    threads.reserve(crowd_connections + 1);
    for (int n = 0; n < crowd_connections; ++n) {
        threads.emplace_back([&] { press(target.callers, request, until, all); });
    }
    threads.emplace_back([&] { ask_ready(target, until, it.log, all); });
    for (int n = 0; rig::now_s() + caller_limit_s < until; ++n) {
        threads.emplace_back([&, n] { ask_ordinary(target.callers, n, it.log, all); });
        rig::sleep_s(ordinary_interval_s);
    }
    for (auto& each : threads) {
        each.join();
    }
    it.log.line("phase=%s request_bytes=%zu crowd_sent=%d crowd_answered=%d crowd_bytes_per_s=%.0f "
                "processor_s=%.1f of %.0f s ordinary=%d answered=%d open_at_timeout=%d "
                "open_0.5_s_later=%d ready_questions=%d answered_200=%d",
                name, request.size(), all.crowd_sent.load(), all.crowd_answered.load(),
                static_cast<double>(request.size()) * all.crowd_sent / phase_s,
                target.processor_s() - before, phase_s, all.ordinary.load(), all.answered.load(),
                all.open_at_timeout.load(), all.open_after_slack.load(), all.questions.load(),
                all.ready.load());
}

int play(rig::deployment& it)
{
    it.start(4, {});
    counts plain;
    run_phase(it, "one_long_field", false, plain);
    rig::sleep_s(2);
    counts fields;
    run_phase(it, it.trouble ? "many_short_fields" : "one_long_field", it.trouble, fields);
    constexpr int least = 20;
    const bool broken =
        fields.open_at_timeout >= least && 2 * fields.open_after_slack > fields.open_at_timeout;
    if (plain.open_at_timeout > 0 || it.daemons.front()->ended()) {
        return rig::could_not_run;
    }
    return broken ? rig::rule_broken : rig::rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return rig::run_case(argc, argv, play);
}
