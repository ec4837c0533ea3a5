#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace toucan::test {

/// A process started by a test. The destructor kills and reaps it. The kernel also kills it when
/// the thread that started it ends, so a test starts long-running processes from its main thread.
class child_process {
public:
    /// Throws `std::system_error` if the process cannot be started.
    /// @param program path of the executable.
    /// @param arguments command-line arguments without the program name.
    /// @param log_path file to which stdout and stderr are appended.
    /// @param environment extra `NAME=value` entries.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  std::string log_path, const std::vector<std::string>& environment = {});
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    /// Kills the process (SIGKILL) and reaps it. Throws `std::runtime_error` after 30 s.
    void kill();
    /// Suspends the process (SIGSTOP) and waits until it is stopped.
    void suspend();
    /// Resumes a stopped process (SIGCONT).
    void resume();
    /// Requests termination (SIGTERM) and returns at once.
    void terminate();

    /// Waits for the process to end.
    /// @param deadline maximum wait.
    /// @return exit status, negative signal number if a signal ended the process, empty if the
    /// process is still running.
    std::optional<int> wait_exit(std::chrono::milliseconds deadline);
    /// Reaps the process if it has ended.
    /// @return true if the process has not ended.
    bool running();
    [[nodiscard]] pid_t pid() const { return pid_; }
    [[nodiscard]] const std::string& log_path() const { return log_path_; }
    /// @return present content of the log file.
    [[nodiscard]] std::string log_text() const;

private:
    void signal(int number) const;

    pid_t pid_ = -1;
    std::optional<int> status_;
    std::string log_path_;
};

} // namespace toucan::test
