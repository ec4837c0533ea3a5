#include "soak_run.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <string>

namespace {

/// Runs one seed and prints the result. The folder of the seed is kept only if a promise is broken.
/// @return true if all promises were kept.
bool run_seed(toucan::soak::soak_options options, const std::string& root)
{
    options.folder = fmt::format("{}/seed-{}", root, options.seed);
    std::filesystem::remove_all(options.folder);
    std::filesystem::create_directories(options.folder);
    toucan::soak::soak_run soak(options);
    const auto broken = soak.run();
    std::cout << fmt::format("seed {}: {} requests, {} runs, {} stops, {} MiB, {}\n", options.seed,
                             soak.record().requests.size(), soak.record().executions.size(),
                             soak.record().stops.size(), soak.record().peak_memory_mb,
                             broken.empty() ? "all promises kept" : "BROKEN");
    if (broken.empty()) {
        std::filesystem::remove_all(options.folder);
        return true;
    }
    for (const auto& it : broken) {
        std::cout << "  " << it << '\n';
    }
    for (const auto& it : soak.events()) {
        std::cout << "    " << it << '\n';
    }
    std::cout << fmt::format("  reproduce: toucan_soak --seed {} --faults-ms {} --daemons {} "
                             "--callers {} --idle-callers {}{}\n  logs: {}\n",
                             options.seed, options.faults.count(), options.daemons_per_domain,
                             options.callers, options.idle_callers,
                             options.cold_restarts ? " --cold-restarts" : "", options.folder);
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("toucan_soak",
                             "Runs real daemons under random faults and checks their guarantees");
    options.add_options()("seed", "first seed",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds", cxxopts::value<int>()->default_value("1"))(
        "faults-ms", "duration in ms of the phase in which new faults begin",
        cxxopts::value<int>()->default_value("12000"))(
        "daemons", "number of daemons in each failure domain",
        cxxopts::value<std::size_t>()->default_value("2"))(
        "callers", "callers", cxxopts::value<std::size_t>()->default_value("24"))(
        "idle-callers", "callers that keep an idle connection between requests, over delayed links",
        cxxopts::value<std::size_t>()->default_value("96"))(
        "program", "daemon program, for example of an earlier version",
        cxxopts::value<std::string>()->default_value(TOUCAN_DAEMON))(
        "cold-restarts", "servers that start again under their id may be cold")(
        "folder", "folder for settings and logs of seeds that fail",
        cxxopts::value<std::string>()->default_value("soak-logs"))("help", "show this text");
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << options.help() << '\n';
            return 0;
        }
        toucan::soak::soak_options it;
        it.faults = std::chrono::milliseconds(given["faults-ms"].as<int>());
        it.daemons_per_domain = given["daemons"].as<std::size_t>();
        it.callers = given["callers"].as<std::size_t>();
        it.idle_callers = given["idle-callers"].as<std::size_t>();
        it.cold_restarts = given.count("cold-restarts") > 0;
        it.program = given["program"].as<std::string>();
        const auto first = given["seed"].as<std::uint64_t>();
        int failed = 0;
        for (int n = 0; n < given["seeds"].as<int>(); ++n) {
            it.seed = first + static_cast<std::uint64_t>(n);
            failed += run_seed(it, given["folder"].as<std::string>()) ? 0 : 1;
        }
        return failed == 0 ? 0 : 1;
    }
    catch (const std::exception& ex) {
        std::cerr << "toucan_soak: " << ex.what() << '\n';
        return 2;
    }
}
