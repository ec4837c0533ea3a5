#include "commands.h"
#include "exit_code.h"

#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <exception>
#include <string_view>

namespace {

struct command {
    std::string_view name;
    std::string_view summary;
    int (*run)(int argc, const char* const* argv);
};

constexpr std::array commands{
    command{"check", "check the steering files of a directory", toucan::ctl::run_check},
    command{"publish", "publish the steering files of a directory", toucan::ctl::run_publish},
    command{"status", "show which version is in force on each daemon", toucan::ctl::run_status},
    command{"state", "print the state of a daemon", toucan::ctl::run_state},
    command{"lookup", "query the entry VMs for a client block", toucan::ctl::run_lookup},
};

void print_help(std::FILE* out)
{
    fmt::print(out, "Usage: toucanctl COMMAND [OPTION...]\n\nCommands:\n");
    for (const auto& it : commands) {
        fmt::print(out, "  {:<8} {}\n", it.name, it.summary);
    }
    fmt::print(out, "\n'toucanctl COMMAND --help' shows the options of a command.\n"
                    "Exit codes: 0 ok, 1 refused or failed, 2 usage, 3 conflict, 4 not known.\n");
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const std::string_view name = argc > 1 ? argv[1] : "";
        for (const auto& it : commands) {
            if (it.name == name) {
                return it.run(argc - 1, argv + 1);
            }
        }
        const bool help = name == "--help" || name == "-h";
        if (!help && !name.empty()) {
            fmt::print(stderr, "toucanctl: unknown command '{}'\n", name);
        }
        print_help(help ? stdout : stderr);
        return help ? toucan::ctl::exit_ok : toucan::ctl::exit_usage;
    }
    catch (const std::exception& ex) {
        std::fputs(ex.what(), stderr);
        std::fputs("\n", stderr);
        return toucan::ctl::exit_failed;
    }
}
