#include "support/child_process.h"

#include "support/wait_until.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace toucan::test {
namespace {

std::vector<char*> null_terminated_pointers(std::vector<std::string>& texts)
{
    std::vector<char*> out;
    out.reserve(texts.size() + 1);
    for (auto& it : texts) {
        out.push_back(it.data());
    }
    out.push_back(nullptr);
    return out;
}

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             std::string log_path, const std::vector<std::string>& environment)
    : log_path_(std::move(log_path))
{
    std::vector<std::string> argv = {TOUCAN_GUARD_EXEC, std::to_string(getpid()), program};
    argv.insert(argv.end(), arguments.begin(), arguments.end());
    std::vector<std::string> env = environment;
    for (auto** it = environ; *it != nullptr; ++it) {
        env.emplace_back(*it);
    }

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    auto argv_pointers = null_terminated_pointers(argv);
    auto env_pointers = null_terminated_pointers(env);
    const int ec = posix_spawn(&pid_, TOUCAN_GUARD_EXEC, &actions, nullptr, argv_pointers.data(),
                               env_pointers.data());
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) {
        throw std::system_error(ec, std::generic_category(), "cannot start " + program);
    }
}

child_process::~child_process()
{
    if (!running()) {
        return;
    }
    ::kill(pid_, SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
}

void child_process::kill()
{
    signal(SIGKILL);
    if (!wait_exit(std::chrono::seconds(30))) {
        throw std::runtime_error("process did not end within 30 s of SIGKILL");
    }
}

void child_process::suspend()
{
    signal(SIGSTOP);
    // SIGSTOP is asynchronous: without this wait, the process may still run after the return.
    siginfo_t info{};
    waitid(P_PID, static_cast<id_t>(pid_), &info, WSTOPPED | WEXITED | WNOWAIT);
}

void child_process::resume()
{
    signal(SIGCONT);
}

void child_process::terminate()
{
    signal(SIGTERM);
}

std::optional<int> child_process::wait_exit(std::chrono::milliseconds deadline)
{
    wait_until([this] { return !running(); }, deadline);
    return status_;
}

bool child_process::running()
{
    if (status_ || pid_ < 0) {
        return false;
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) {
        return true;
    }
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return false;
}

std::string child_process::log_text() const
{
    std::ostringstream out;
    out << std::ifstream(log_path_).rdbuf();
    return out.str();
}

void child_process::signal(int number) const
{
    // The PID of a reaped process may be reused by another process.
    if (!status_ && pid_ > 0) {
        ::kill(pid_, number);
    }
}

} // namespace toucan::test
