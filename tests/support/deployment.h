#pragma once

#include "support/address_range.h"
#include "support/child_process.h"
#include "support/deployment_plan.h"
#include "support/steering_files.h"
#include "support/temporary_folder.h"
#include "toucan/base/vm_address.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace toucan::test {

/// An entry VM of a test deployment and its daemon process, null before the first start.
struct entry_vm {
    std::string failure_domain;
    std::string region;
    vm_address http;
    vm_address rpc;
    std::unique_ptr<child_process> process;
};

/// Exit statuses of `toucanctl publish`.
enum class publish_status { accepted = 0, refused = 1, conflict = 3, unconfirmed = 4 };

/// Processes of one test: platform, backend servers, proxy and daemons. The destructor kills them.
class deployment {
public:
    /// @param plan processes to start. Changes of `plan()` apply to the next publication.
    explicit deployment(deployment_plan plan);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment();

    /// Starts all processes, publishes the first configuration and waits until all daemons are
    /// ready, list each other as ready, and have shift budgets.
    /// Throws `std::runtime_error` with the reason on failure.
    void start();
    /// Starts the platform, the backend servers and the proxy, but no daemon.
    void start_standins();
    /// Starts a daemon, or restarts it as a new process at the same addresses. Throws
    /// `std::logic_error` if it is already running.
    /// @param index index into `entry_vms()`.
    void start_daemon(std::size_t index);
    /// Waits until daemons answer `/readyz` with 200.
    /// @param indices entry VMs to wait for; all started ones if empty.
    /// @return false if `wait_deadline` passed first.
    bool wait_ready(const std::vector<std::size_t>& indices = {});
    /// Waits until every daemon lists every other one as ready.
    /// @return false if `wait_deadline` passed first.
    bool wait_converged();

    /// Publishes the steering files of `plan()` and waits for the result.
    /// Throws `std::runtime_error` after `wait_deadline`.
    /// @param publisher name of the operator.
    publish_status publish(const std::string& publisher = "operator");
    /// Starts `toucanctl publish` and returns without waiting for its result.
    /// @param publisher name of the operator; distinct for concurrent publications.
    std::unique_ptr<child_process> start_publish(const std::string& publisher);
    /// Configuration version in the lookup response of an entry VM; 0 without a valid response.
    /// @param index index into `entry_vms()`.
    std::uint64_t version_at(std::size_t index);
    /// Waits until each of these entry VMs, all started ones if empty, has at least this version.
    /// @return false if `wait_deadline` passed first.
    bool wait_version(std::uint64_t version, const std::vector<std::size_t>& indices = {});

    /// Changes the proxy routes between two failure domains, in both directions. Throws
    /// `std::logic_error` if no route matches, as do the next two functions.
    /// @param faults fields of `/control/routes`, for example `{{"cut", true}}`.
    void set_link(const std::string& lhs, const std::string& rhs, const nlohmann::json& faults);
    /// Changes the proxy routes from the daemons of a failure domain to the platform.
    void set_platform_link(const std::string& failure_domain, const nlohmann::json& faults);
    /// Changes the proxy route of the connections that one entry VM opens to another. Connections
    /// opened in the opposite direction are not affected.
    void set_route(std::size_t from, std::size_t to, const nlohmann::json& faults);
    /// @param faults fields of `/control/faults` of the platform stand-in.
    void set_platform_faults(const nlohmann::json& faults);
    /// Sets the platform's VM list to all entry VMs and backend servers.
    /// @param leaving addresses that the list marks as leaving.
    void set_vm_list(const std::set<vm_address>& leaving = {});
    /// Sends a control request to a backend stand-in.
    /// @param index index into `backends()`.
    /// @param endpoint path below `/control/`.
    void set_backend(std::size_t index, const std::string& endpoint, const nlohmann::json& body);

    deployment_plan& plan() { return plan_; }
    std::vector<entry_vm>& entry_vms() { return entry_vms_; }
    [[nodiscard]] const std::vector<backend_vm>& backends() const { return backends_; }
    [[nodiscard]] std::vector<vm_address> entry_addresses() const;
    [[nodiscard]] std::vector<vm_address> backend_addresses() const;
    [[nodiscard]] std::vector<std::size_t> entry_vms_of(const std::string& failure_domain) const;
    [[nodiscard]] const vm_address& platform() const { return platform_; }
    child_process& backend_process(std::size_t index) { return *backend_processes_[index]; }
    /// The last 2000 bytes of the log of each daemon, for messages of failed checks.
    [[nodiscard]] std::string log_tails() const;

private:
    [[nodiscard]] bool lists_all_ready(const entry_vm& vm) const;
    struct route {
        std::size_t from = 0;
        vm_address to;
        vm_address listen;
    };

    void start_platform();
    void start_backends();
    void start_proxy();
    void set_routes(const std::vector<vm_address>& listen, const nlohmann::json& faults);
    [[nodiscard]] std::vector<std::size_t>
    indices_or_started(const std::vector<std::size_t>& indices) const;

    deployment_plan plan_;
    address_range range_;
    temporary_folder folder_;
    vm_address platform_;
    vm_address proxy_control_;
    std::vector<entry_vm> entry_vms_;
    std::vector<backend_vm> backends_;
    std::vector<route> routes_;
    std::size_t publications_ = 0;
    std::unique_ptr<child_process> platform_process_;
    std::unique_ptr<child_process> proxy_process_;
    std::vector<std::unique_ptr<child_process>> backend_processes_;
};

} // namespace toucan::test
