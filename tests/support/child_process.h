#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace toucan::test {

/// A program started by a test. The destructor kills and reaps it. It is also killed when the
/// thread that started it ends, so long-lived programs are started from the main thread.
class child_process {
public:
    /// @param program path of the program.
    /// @param arguments without the name of the program.
    /// @param log_path file that receives stdout and stderr; appended to.
    /// @param environment extra `NAME=value` entries.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  std::string log_path, const std::vector<std::string>& environment = {});
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    void kill();
    /// Freezes the process (SIGSTOP) and waits until it has stopped.
    void stop();
    /// Resumes a frozen process (SIGCONT).
    void cont();
    /// Asks the process to end (SIGTERM).
    void term();

    /// @param deadline longest wait.
    /// @return exit status, negative signal number if a signal ended it, nothing if it still runs.
    std::optional<int> wait_exit(std::chrono::milliseconds deadline);
    bool running();
    [[nodiscard]] pid_t pid() const { return pid_; }
    [[nodiscard]] const std::string& log_path() const { return log_path_; }
    [[nodiscard]] std::string log_text() const;

private:
    void signal(int number) const;

    pid_t pid_ = -1;
    std::optional<int> status_;
    std::string log_path_;
};

} // namespace toucan::test
