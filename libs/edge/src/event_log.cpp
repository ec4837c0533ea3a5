#include "event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>

namespace toucan::edge {

namespace {

constexpr std::size_t queue_capacity_lines = 4096;
constexpr int max_request_lines_per_s = 50;

std::shared_ptr<spdlog::logger>& logger()
{
    static std::shared_ptr<spdlog::logger> instance;
    return instance;
}

/// Request lines written and dropped in the current one-second window.
struct request_line_budget {
    std::chrono::steady_clock::time_point second;
    int lines = 0;
    std::uint64_t dropped = 0;
};

request_line_budget& line_budget(request_lines kind)
{
    static request_line_budget failures;
    static request_line_budget placements;
    return kind == request_lines::failures ? failures : placements;
}

} // namespace

void start_event_log()
{
    spdlog::init_thread_pool(queue_capacity_lines, 1);
    logger() = std::make_shared<spdlog::async_logger>(
        "event", std::make_shared<spdlog::sinks::stdout_sink_mt>(), spdlog::thread_pool(),
        spdlog::async_overflow_policy::overrun_oldest);
    logger()->set_pattern("%Y-%m-%dT%H:%M:%S.%e %v");
    logger()->flush_on(spdlog::level::info);
}

void stop_event_log()
{
    logger().reset();
    spdlog::shutdown();
}

void write_event(std::string_view name, std::string fields)
{
    if (logger()) {
        logger()->info("event={} {}", name, fields);
    }
}

bool request_event_allowed(request_lines kind)
{
    auto& it = line_budget(kind);
    const auto now = std::chrono::steady_clock::now();
    if (now - it.second >= std::chrono::seconds(1)) {
        if (it.dropped > 0) {
            write_event("request_lines_left_out",
                        fmt::format("count={} kind={}", it.dropped,
                                    kind == request_lines::failures ? "failures" : "placements"));
        }
        it = {now, 0, 0};
    }
    if (it.lines >= max_request_lines_per_s) {
        ++it.dropped;
        return false;
    }
    ++it.lines;
    return true;
}

} // namespace toucan::edge
