#pragma once

#include <cxxopts.hpp>

#include <optional>
#include <string>
#include <vector>

namespace toucan::ctl {

/// Parses the options of one command. Each command has `--help`, `--json` and at most one
/// positional argument.
class command_line {
public:
    /// @param command name of the command.
    /// @param summary one-line description for `--help`.
    /// @param positional name of the positional argument, empty if there is none.
    command_line(const std::string& command, const std::string& summary,
                 const std::string& positional);

    /// Adds options; call before `parse`.
    cxxopts::OptionAdder add() { return options_.add_options(); }

    /// Parses the arguments. Prints the help text or a usage error where necessary.
    /// @return an exit code, or nothing if the command should run.
    std::optional<int> parse(int argc, const char* const* argv);

    [[nodiscard]] bool json() const { return has("json"); }
    /// @return true if the option was given.
    [[nodiscard]] bool has(const std::string& option) const;
    /// @return text of an option; empty if the option is absent.
    [[nodiscard]] std::string text(const std::string& option) const;
    /// @return elements of a list option; empty if the option is absent.
    [[nodiscard]] std::vector<std::string> texts(const std::string& option) const;
    /// @return the positional argument.
    [[nodiscard]] std::string argument() const { return text(positional_); }
    /// Prints a usage error to standard error.
    /// @return the exit code for usage errors.
    [[nodiscard]] int usage_error(const std::string& message) const;

private:
    std::string command_;
    std::string positional_;
    cxxopts::Options options_;
    cxxopts::ParseResult result_;
};

} // namespace toucan::ctl
