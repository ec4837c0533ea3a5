#pragma once

#include "fault_proxy.h"
#include "history.h"
#include "judge.h"
#include "soak_backend.h"
#include "soak_caller.h"
#include "soak_store.h"

#include "support/child_process.h"
#include "toucan/base/system_clock.h"

#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace toucan::soak {

struct soak_options {
    std::uint64_t seed = 1;
    /// Span in which faults begin.
    std::chrono::milliseconds faults{12000};
    std::size_t daemons_per_domain = 2;
    std::size_t callers = 24;
    std::string program;
    /// Folder for settings and logs.
    std::string folder;
};

/// One deployment on loopback for one seed: real daemons, stand-ins of everything else, and faults
/// from outside.
class soak_run {
public:
    explicit soak_run(soak_options options);

    /// @return one line for each broken promise.
    std::vector<std::string> play();
    /// What happened when, for a seed that fails.
    [[nodiscard]] const std::vector<std::string>& events() const { return events_; }
    [[nodiscard]] const history& record() const { return record_; }

private:
    struct daemon {
        std::unique_ptr<fault_proxy> store_link;
        std::unique_ptr<test::child_process> process;
        std::string settings;
        /// It was told to end, or killed, by the soak.
        bool ending = false;
    };
    using duration = std::chrono::milliseconds;

    [[nodiscard]] vm_address address(std::size_t host, std::uint16_t port) const;
    void build();
    void write_configuration();
    void start_daemon(std::size_t n);
    void restart_daemon(std::size_t n);
    void run_for(duration time);
    void watch_processes();
    void schedule();
    void next_fault();
    void log(const std::string& event);
    void later(duration time, std::function<void()> what);
    void disturb(std::size_t n, duration time);
    void disturb_all(duration time);
    [[nodiscard]] std::size_t draw(std::size_t below) { return random_() % below; }
    [[nodiscard]] duration draw_time(int least_ms, int most_ms);
    soak_backend* draw_backend();

    void harm_daemon();
    void stop_daemon();
    void harm_store();
    void harm_store_link();
    void harm_backend();
    void replace_backend();
    void change_configuration();
    void evacuate();

    soak_options options_;
    std::mt19937_64 random_;
    edge::asio::io_context loop_{1};
    system_clock time_;
    history record_;
    soak_store store_;
    std::vector<daemon> daemons_;
    std::vector<daemon_place> places_;
    std::vector<std::unique_ptr<soak_backend>> backends_;
    std::vector<std::unique_ptr<soak_caller>> callers_;
    std::vector<std::string> events_;
    steady_time began_;
    steady_time faults_end_;
    std::uint64_t config_version_ = 0;
    std::size_t evacuations_ = 0;
};

} // namespace toucan::soak
