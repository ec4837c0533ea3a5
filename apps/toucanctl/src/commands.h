#pragma once

namespace toucan::ctl {

/// Implementations of the toucanctl commands. Each command parses its own options.
/// @param argc, argv arguments; `argv[0]` is the name of the command.
/// @return an exit code.
int run_check(int argc, const char* const* argv);
int run_publish(int argc, const char* const* argv);
int run_status(int argc, const char* const* argv);
int run_state(int argc, const char* const* argv);
int run_lookup(int argc, const char* const* argv);

} // namespace toucan::ctl
