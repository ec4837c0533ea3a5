// Entry point of toucand, the daemon that runs on every entry VM.
#include "edge_command.h"

#include "toucan/base/last_reason.h"
#include "toucan/base/log.h"
#include "toucan/base/system_clock.h"
#include "toucan/daemon/daemon.h"
#include "toucan/daemon/settings_reader.h"

#include <fmt/format.h>

#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

std::optional<std::string> environment(const std::string& name)
{
    const char* value = std::getenv(name.c_str()); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

/// Blocks SIGTERM and SIGINT in this thread and in all threads that it starts later, so that only
/// sigwait receives them.
sigset_t block_stop_signals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int run(const toucan::daemon::settings& settings)
{
    const auto signals = block_stop_signals();
    // A write to a connection that the peer has closed must return an error, not end the process.
    std::signal(SIGPIPE, SIG_IGN);

    toucan::set_log_level(settings.log_level);
    const toucan::system_clock time;
    toucan::daemon::daemon process(settings, time);
    if (!process.start()) {
        toucan::log(toucan::log_part::daemon)
            .error("daemon failed to start: {}", toucan::last_reason());
        return exit_failed;
    }
    int received = 0;
    sigwait(&signals, &received);
    toucan::log(toucan::log_part::daemon).info("received signal {}, draining", received);
    const bool graceful = process.drain();
    process.stop();
    toucan::log(toucan::log_part::daemon).info("stopped{}", graceful ? "" : " at the drain limit");
    return graceful ? 0 : exit_failed;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        if (argc > 1 && std::string(argv[1]) == "edge") {
            return toucan::run_edge(argc - 1, argv + 1);
        }
        const auto result =
            toucan::daemon::read_settings(std::vector<std::string>(argv, argv + argc), environment);
        if (const auto* help = std::get_if<toucan::daemon::settings_help>(&result)) {
            std::cout << help->text;
            return 0;
        }
        if (const auto* errors = std::get_if<toucan::daemon::settings_errors>(&result)) {
            for (const auto& it : errors->errors) {
                std::cerr << "toucand: " << it << '\n';
            }
            return exit_usage;
        }
        return run(std::get<toucan::daemon::settings>(result));
    }
    catch (const std::exception& ex) {
        std::cerr << "toucand: " << ex.what() << '\n';
        return exit_failed;
    }
}
