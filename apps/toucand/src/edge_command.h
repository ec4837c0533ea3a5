#pragma once

namespace toucan {

/// Runs the command `toucand edge`: an event-driven entry daemon that reads its routing
/// configuration from the platform's store and exchanges load with the other daemons. Blocks until
/// the daemon stops.
/// @param argv name of the command, then its options.
/// @return exit code: 0 after a stop signal, `--help` or a successful `--check`; 1 if the daemon
/// cannot start; 2 for invalid options or settings.
int run_edge(int argc, char** argv);

} // namespace toucan
