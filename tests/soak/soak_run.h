#pragma once

#include "fault_proxy.h"
#include "history.h"
#include "judge.h"
#include "soak_backend.h"
#include "soak_caller.h"
#include "soak_idle_caller.h"
#include "soak_pipeline_caller.h"
#include "soak_server_changes.h"
#include "soak_store.h"
#include "soak_upload_caller.h"

#include "support/child_process.h"
#include "toucan/base/system_clock.h"

#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace toucan::soak {

/// Parameters of a run.
struct soak_options {
    std::uint64_t seed = 1;
    /// Duration of the phase in which new faults begin.
    std::chrono::milliseconds faults{12000};
    std::size_t daemons_per_domain = 2;
    std::size_t callers = 24;
    /// Further callers, which pipeline idempotent requests.
    std::size_t pipeline_callers = 6;
    /// Further callers, which take seconds to send a request.
    std::size_t upload_callers = 12;
    /// Further callers, which keep an idle connection over a delayed link between requests.
    std::size_t idle_callers = 96;
    /// Servers that start again under their id may be cold.
    bool cold_restarts = false;
    /// Path of the daemon program.
    std::string program;
    /// Folder for settings and logs.
    std::string folder;
};

/// Deployment on loopback for one seed. It starts real daemons, runs stand-ins of the store,
/// the backend servers and the callers in this process, and injects random faults.
class soak_run {
public:
    explicit soak_run(soak_options options);

    /// Runs the deployment to its end; blocks for the whole time.
    /// @return one line for each broken promise.
    std::vector<std::string> run();
    /// Injected faults and starts with their times, to print for a seed that fails.
    [[nodiscard]] const std::vector<std::string>& events() const { return events_; }
    [[nodiscard]] const history& record() const { return record_; }

private:
    struct daemon {
        std::unique_ptr<fault_proxy> store_link;
        /// One for each delay class.
        std::vector<std::unique_ptr<fault_proxy>> caller_links;
        std::unique_ptr<test::child_process> process;
        std::string settings;
        /// This program has sent SIGTERM or SIGKILL to the process.
        bool exit_expected = false;
    };
    using duration = std::chrono::milliseconds;

    [[nodiscard]] vm_address address(std::size_t host, std::uint16_t port) const;
    void build_deployment();
    void add_daemon(const char* failure_domain, const char* region);
    void add_callers();
    void add_server_changes();
    void write_configuration();
    [[nodiscard]] std::string log_path(std::size_t n) const;
    void start_daemon(std::size_t n);
    void restart_daemon(std::size_t n);
    void run_for(duration time);
    void restart_exited_daemons();
    /// Records the requests that the daemons have logged as unanswered.
    void read_daemon_logs();
    /// Records the peak memory of the daemons that run.
    void record_memory();
    void schedule();
    void inject_next_fault();
    void log(const std::string& event);
    void run_after(duration time, std::function<void()> action);
    void add_fault_window(std::size_t n, duration time);
    void add_global_fault_window(duration time);
    [[nodiscard]] std::size_t random_below(std::size_t below) { return random_() % below; }
    [[nodiscard]] duration random_time(int min_ms, int max_ms);
    soak_backend* random_running_backend();

    void kill_or_freeze_daemon();
    void stop_or_reload_daemon();
    void inject_store_fault();
    void inject_store_link_fault();
    void inject_backend_fault();
    void replace_backend();
    void publish_configurations();
    void evacuate_domain();

    soak_options options_;
    std::mt19937_64 random_;
    /// Source of the links' delays and of the callers that use them, apart from the schedule's
    /// source, so that the faults of a seed do not depend on these callers.
    std::mt19937_64 link_random_;
    edge::asio::io_context loop_{1};
    system_clock time_;
    history record_;
    soak_store store_;
    std::vector<daemon> daemons_;
    std::vector<daemon_endpoints> endpoints_;
    std::vector<std::unique_ptr<soak_backend>> backends_;
    std::unique_ptr<soak_server_changes> server_changes_;
    std::vector<std::unique_ptr<soak_caller>> callers_;
    std::vector<std::unique_ptr<soak_pipeline_caller>> pipeline_callers_;
    std::vector<std::unique_ptr<soak_upload_caller>> upload_callers_;
    std::vector<std::unique_ptr<soak_idle_caller>> idle_callers_;
    std::vector<std::string> events_;
    steady_time start_;
    steady_time faults_end_;
    std::uint64_t config_version_ = 0;
    std::size_t active_evacuations_ = 0;
};

} // namespace toucan::soak
