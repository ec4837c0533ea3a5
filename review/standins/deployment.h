#pragma once

#include "http.h"
#include "record.h"
#include "store.h"
#include "upstream.h"

#include <sys/types.h>

#include <map>

namespace toucan::review {

/// Memory that a process may hold, as in the settings of the users' machines.
inline constexpr double memory_mb = 182;

/// One machine of the small deployment, with its daemon.
struct machine {
    std::string name;
    std::string zone;
    std::string region;
    std::string ip;
    /// 0 while no process runs.
    pid_t process = 0;
    /// Processes that ended although nobody stopped them.
    unsigned ended_by_itself = 0;

    [[nodiscard]] address front() const { return {ip, 8144}; }
    [[nodiscard]] address ready() const { return {ip, 8140}; }
    [[nodiscard]] address directory() const { return {ip, 8143}; }
};

/// A small deployment on loopback addresses: the stand-in of the store, upstreams, and one
/// `toucand edge` a machine with settings from the template of the deploy file. Ends all processes
/// on destruction.
class deployment {
public:
    /// @param root folder of the repository.
    /// @param folder temporary folder for settings and logs.
    deployment(std::string root, std::string folder, record& out);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment();

    void add_machine(const std::string& zone, const std::string& region);
    /// @param cold_s time for which they are cold after their start.
    void add_upstreams(const std::string& service, const std::string& zone, unsigned count,
                       double cold_s = 0);
    [[nodiscard]] upstream& upstream_at(std::size_t index) { return *upstreams_.at(index); }
    /// Writes a configuration with the routes of `routes` and starts all machines.
    /// @return whether all are ready, and all upstreams are known, within some seconds.
    bool start(const nlohmann::json& routes);
    /// Writes a version of the configuration.
    void configure(int version, const nlohmann::json& routes, std::size_t max_body_bytes);
    void start_process(machine& it);
    /// Sends a signal to the process of a machine.
    void signal(machine& it, int number);
    /// Waits for the end of the process of a machine.
    bool wait_end(machine& it, milliseconds limit);
    bool wait_ready(const machine& it, milliseconds limit) const;

    [[nodiscard]] std::vector<machine>& machines() { return machines_; }
    [[nodiscard]] record& out() { return record_; }
    [[nodiscard]] store& platform() { return *store_; }
    [[nodiscard]] std::size_t runs(const std::string& attempt_id);
    [[nodiscard]] bool answered(const std::string& attempt_id);

private:
    [[nodiscard]] std::string settings_of(const machine& it) const;
    [[nodiscard]] std::string next_ip();

    std::string root_;
    std::string folder_;
    record& record_;
    std::string network_;
    unsigned last_ip_ = 0;
    address store_address_;
    std::unique_ptr<store> store_;
    std::vector<machine> machines_;
    std::vector<std::unique_ptr<upstream>> upstreams_;
};

/// Route of a configuration.
nlohmann::json route(const std::string& prefix, const std::string& kind, double timeout_s,
                     unsigned max_attempts);

/// Host of all routes.
inline constexpr const char* host = "review.example";

/// Request of a client.
std::string client_request(const std::string& method, const std::string& target,
                           const std::string& attempt_id, int deadline_ms,
                           const std::string& body = {});

/// Resident memory of a process in MB; 0 if it does not run.
double resident_mb(pid_t process);

} // namespace toucan::review
