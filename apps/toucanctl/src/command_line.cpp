#include "command_line.h"

#include "exit_code.h"

#include <fmt/format.h>

#include <cstdio>
#include <exception>

namespace toucan::ctl {

command_line::command_line(const std::string& command, const std::string& summary,
                           const std::string& positional)
    : command_(command), positional_(positional), options_("toucanctl " + command, summary)
{
    options_.add_options()("h,help", "print this help")("json", "print JSON on standard output");
    if (!positional.empty()) {
        options_.add_options("arguments")(positional, "", cxxopts::value<std::string>());
        options_.parse_positional({positional});
        options_.positional_help(positional);
    }
}

std::optional<int> command_line::parse(int argc, const char* const* argv)
{
    try {
        result_ = options_.parse(argc, argv);
    }
    catch (const std::exception& ex) {
        return usage_error(ex.what());
    }
    if (has("help")) {
        fmt::print("{}", options_.help({""}));
        return exit_ok;
    }
    if (!result_.unmatched().empty()) {
        return usage_error(fmt::format("unexpected argument '{}'", result_.unmatched().front()));
    }
    if (!positional_.empty() && argument().empty()) {
        return usage_error(fmt::format("{} is missing", positional_));
    }
    return std::nullopt;
}

bool command_line::has(const std::string& option) const
{
    return result_.count(option) > 0;
}

std::string command_line::text(const std::string& option) const
{
    return has(option) ? result_[option].as<std::string>() : std::string();
}

std::vector<std::string> command_line::texts(const std::string& option) const
{
    return has(option) ? result_[option].as<std::vector<std::string>>()
                       : std::vector<std::string>();
}

int command_line::usage_error(const std::string& message) const
{
    fmt::print(stderr, "toucanctl {}: {}\nSee 'toucanctl {} --help'.\n", command_, message,
               command_);
    return exit_usage;
}

} // namespace toucan::ctl
