// Executes a program that the kernel kills when its parent, the test program, dies. The program
// inherits only the standard descriptors. posix_spawn has no attribute for the parent-death signal,
// so this wrapper sets it before it executes the program.
#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

int main(int argc, char** argv)
{
    // argv: guard_exec PARENT_PID PROGRAM ARGUMENT...
    if (argc < 3) {
        return 127;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // If the parent died before the call above, no signal will follow.
    if (getppid() != std::atoi(argv[1])) { // NOLINT(cert-err34-c)
        return 127;
    }
    // An inherited socket of the test would stay open in the program after the test closes it.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(argv[2], argv + 2);
    std::perror(argv[2]);
    return 127;
}
