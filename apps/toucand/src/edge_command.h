#pragma once

namespace toucan {

/// Runs the command `toucand edge`: an event-driven entry daemon that shares its state through the
/// platform's store. Blocks until the daemon stops.
/// @param argc number of elements of `argv`.
/// @param argv name of the command, then its options.
/// @return exit code: 0 after a stop signal, 1 if the daemon cannot start, 2 for invalid options or
/// settings.
int run_edge(int argc, char** argv);

} // namespace toucan
