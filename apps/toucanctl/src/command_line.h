#pragma once

#include <cxxopts.hpp>

#include <optional>
#include <string>
#include <vector>

namespace toucan::ctl {

/// The options of one command, with `--help`, `--json` and one positional argument.
class command_line {
public:
    /// @param command name of the command.
    /// @param summary one line for `--help`.
    /// @param positional name of the positional argument, empty if there is none.
    command_line(const std::string& command, const std::string& summary,
                 const std::string& positional);

    cxxopts::OptionAdder add() { return options_.add_options(); }

    /// Prints help or what is wrong.
    /// @return an exit code, or nothing if the command is to go on.
    std::optional<int> parse(int argc, const char* const* argv);

    [[nodiscard]] bool json() const { return has("json"); }
    [[nodiscard]] bool has(const std::string& option) const;
    /// @return text of an option; empty if it was not given and has no default.
    [[nodiscard]] std::string text(const std::string& option) const;
    [[nodiscard]] std::vector<std::string> texts(const std::string& option) const;
    /// @return the positional argument.
    [[nodiscard]] std::string argument() const { return text(positional_); }
    /// Prints a usage error.
    /// @return the exit code for usage errors.
    [[nodiscard]] int usage_error(const std::string& message) const;

private:
    std::string command_;
    std::string positional_;
    cxxopts::Options options_;
    cxxopts::ParseResult result_;
};

} // namespace toucan::ctl
