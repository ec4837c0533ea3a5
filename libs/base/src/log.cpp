#include "toucan/base/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <array>
#include <string>

namespace toucan {

namespace {

constexpr std::array<const char*, 8> part_names = {"config", "member", "ops",      "policy",
                                                   "rpc",    "http",   "platform", "daemon"};

struct logger_table {
    std::array<std::shared_ptr<spdlog::logger>, part_names.size()> loggers;

    logger_table()
    {
        // Logs go to standard error: toucanctl writes machine-readable output to standard output.
        auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
        for (std::size_t it = 0; it < part_names.size(); ++it) {
            auto& logger = loggers.at(it);
            logger = std::make_shared<spdlog::logger>(part_names.at(it), sink);
            logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L [%n] %v");
            logger->flush_on(spdlog::level::info);
        }
    }
};

logger_table& logger_registry()
{
    static logger_table instance;
    return instance;
}

} // namespace

spdlog::logger& log(log_part part)
{
    return *logger_registry().loggers.at(static_cast<std::size_t>(part));
}

bool set_log_level(std::string_view level)
{
    const auto parsed = spdlog::level::from_str(std::string(level));
    if (parsed == spdlog::level::off && level != "off") {
        return false;
    }
    for (const auto& it : logger_registry().loggers) {
        it->set_level(parsed);
    }
    return true;
}

} // namespace toucan
