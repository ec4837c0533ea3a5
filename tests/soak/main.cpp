#include "soak_run.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <string>

namespace {

/// Plays one seed and prints its verdict.
/// @return whether all promises were kept.
bool play(toucan::soak::soak_options options, const std::string& root)
{
    options.folder = fmt::format("{}/seed-{}", root, options.seed);
    std::filesystem::remove_all(options.folder);
    std::filesystem::create_directories(options.folder);
    toucan::soak::soak_run run(options);
    const auto broken = run.play();
    std::cout << fmt::format("seed {}: {} requests, {} runs, {}\n", options.seed,
                             run.record().requests.size(), run.record().runs.size(),
                             broken.empty() ? "all promises kept" : "BROKEN");
    if (broken.empty()) {
        std::filesystem::remove_all(options.folder);
        return true;
    }
    for (const auto& it : broken) {
        std::cout << "  " << it << '\n';
    }
    for (const auto& it : run.events()) {
        std::cout << "    " << it << '\n';
    }
    std::cout << fmt::format("  again: toucan_soak --seed {} --faults-ms {} --daemons {} "
                             "--callers {}\n  logs: {}\n",
                             options.seed, options.faults.count(), options.daemons_per_domain,
                             options.callers, options.folder);
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("toucan_soak", "Plays random faults against real daemons");
    options.add_options()("seed", "first seed",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds", cxxopts::value<int>()->default_value("1"))(
        "faults-ms", "span in which faults begin", cxxopts::value<int>()->default_value("12000"))(
        "daemons", "daemons in each failure domain",
        cxxopts::value<std::size_t>()->default_value("2"))(
        "callers", "callers", cxxopts::value<std::size_t>()->default_value("24"))(
        "folder", "folder for logs of seeds that fail",
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
        it.program = TOUCAN_DAEMON;
        const auto first = given["seed"].as<std::uint64_t>();
        int failed = 0;
        for (int n = 0; n < given["seeds"].as<int>(); ++n) {
            it.seed = first + static_cast<std::uint64_t>(n);
            failed += play(it, given["folder"].as<std::string>()) ? 0 : 1;
        }
        return failed == 0 ? 0 : 1;
    }
    catch (const std::exception& ex) {
        std::cerr << "toucan_soak: " << ex.what() << '\n';
        return 2;
    }
}
