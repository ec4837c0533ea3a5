#include "edge_command.h"

#include "platform/adapter.h"

#include "toucan/base/last_reason.h"
#include "toucan/base/system_clock.h"
#include "toucan/edge/edge_daemon.h"
#include "toucan/edge/settings.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

namespace toucan {

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

std::string settings_path_from_environment()
{
    const char* value = std::getenv("TOUCAN_EDGE_SETTINGS"); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? std::string() : std::string(value);
}

int serve(const std::string& path, bool check_only)
{
    const auto settings = edge::read_settings_file(path);
    if (!settings) {
        std::cerr << "toucand: " << last_reason() << '\n';
        return exit_usage;
    }
    if (check_only) {
        return 0;
    }
    const system_clock time;
    edge::edge_daemon daemon(*settings, path, users_platform::make_adapter(), time);
    if (!daemon.run()) {
        std::cerr << "toucand: " << last_reason() << '\n';
        return exit_failed;
    }
    return 0;
}

} // namespace

int run_edge(int argc, char** argv)
{
    // A write to a connection that the peer has closed must return an error, not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("toucand edge", "Entry daemon on the users' platform");
    options.add_options()(
        "settings", "settings file (TOML); default: $TOUCAN_EDGE_SETTINGS",
        cxxopts::value<std::string>()->default_value(settings_path_from_environment()))(
        "check", "validate the settings file and exit")("help", "show this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return serve(parsed["settings"].as<std::string>(), parsed.count("check") > 0);
    }
    catch (const cxxopts::exceptions::exception& ex) {
        std::cerr << "toucand: " << ex.what() << '\n';
        return exit_usage;
    }
}

} // namespace toucan
