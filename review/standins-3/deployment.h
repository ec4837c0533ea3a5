#pragma once

#include "upstream.h"

#include <sys/types.h>

namespace review {

/// One machine of the system with its process.
struct machine {
    std::string name;
    std::string zone;
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t directory = 0;
    std::uint16_t peers = 0;
    std::uint16_t metrics = 0;
    pid_t pid = -1;
};

struct machine_settings {
    double memory_mb = 182;
    double budget_extra = 120;
    double grace_s = 6;
};

/// The machines of a small installation and the store that they use.
class deployment {
public:
    /// @param program path of `toucand`.
    /// @param folder temporary folder for settings files and logs.
    /// @param zones zone of each machine.
    deployment(std::string program, std::string folder, store& platform, record& log,
               const std::vector<std::string>& zones, machine_settings settings);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;
    ~deployment();

    [[nodiscard]] std::vector<machine>& machines() { return machines_; }
    void start(machine& it);
    /// Writes the settings file of a machine with another grace; sends no signal.
    void change_grace(const machine& it, double grace_s);
    static void send_signal(const machine& it, int number);
    /// Sends SIGKILL and waits for the end.
    void kill(machine& it);
    /// Whether the process has ended by itself; reaps it.
    bool ended(machine& it);
    /// @return false if a machine doesn't answer 200 to the check in time.
    bool wait_until_ready(milliseconds limit);
    [[nodiscard]] static bool ready(const machine& it, milliseconds limit);
    /// A figure of /proc/PID/status in MiB; 0 if there is none.
    [[nodiscard]] static double memory_mb(const machine& it, const std::string& figure);

private:
    [[nodiscard]] std::string settings_of(const machine& it) const;
    [[nodiscard]] std::string settings_path(const machine& it) const;

    std::string program_;
    std::string folder_;
    store& platform_;
    record& log_;
    machine_settings settings_;
    std::vector<machine> machines_;
};

} // namespace review
