// Runs a program that is killed when the test program that started it dies.
// It gets no descriptors beside the standard ones.
// posix_spawn has no attribute for this, so it is set here, before the program is executed.
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
    // The parent may have died before the call above.
    if (getppid() != std::atoi(argv[1])) { // NOLINT(cert-err34-c)
        return 127;
    }
    // A test that has sockets of its own must not share them with the program: they would stay open
    // after the test closes them.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(argv[2], argv + 2);
    std::perror(argv[2]);
    return 127;
}
