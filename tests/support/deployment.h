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

/// An entry VM of a test deployment.
struct entry_vm {
    std::string failure_domain;
    std::string region;
    vm_address http;
    vm_address rpc;
    std::unique_ptr<child_process> process;
};

/// Exit statuses of `toucanctl publish`.
enum class publish_status { accepted = 0, refused = 1, conflict = 3, not_known = 4 };

/// Processes of one test: platform, backend servers, proxy and daemons. They end with it.
class deployment {
public:
    /// @param plan what to start; `plan()` may be changed before the next publication.
    explicit deployment(deployment_plan plan);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment();

    /// Starts everything, publishes the first configuration and waits until all daemons are ready,
    /// know each other, and have shift budgets.
    /// Throws with the reason if that does not happen.
    void start();
    /// Starts the platform, the backend servers and the proxy, but no daemon.
    void start_standins();
    /// Starts a daemon, or starts it again as a new process at the same addresses.
    /// @param index entry VM.
    void start_daemon(std::size_t index);
    /// @param indices entry VMs to wait for; all that run if empty.
    bool wait_ready(const std::vector<std::size_t>& indices = {});
    /// Waits until every daemon knows every other one as ready.
    bool wait_converged();

    /// Publishes the steering files of `plan()` and waits for the result.
    /// @param publisher name of the operator.
    publish_status publish(const std::string& publisher = "operator");
    /// Starts a publication and returns without waiting for its result.
    /// @param publisher name of the operator; distinct for concurrent publications.
    std::unique_ptr<child_process> start_publish(const std::string& publisher);
    /// Highest configuration version that an entry VM answers lookups from; 0 if it does not
    /// answer.
    /// @param index entry VM.
    std::uint64_t version_at(std::size_t index);
    /// Waits until each of these entry VMs has at least this version.
    bool wait_version(std::uint64_t version, const std::vector<std::size_t>& indices = {});

    /// Changes the proxy routes between two failure domains, in both directions.
    /// @param faults fields of `/control/routes`, for example `{{"cut", true}}`.
    void set_link(const std::string& lhs, const std::string& rhs, const nlohmann::json& faults);
    /// Changes the proxy routes of the daemons of a failure domain to the platform.
    void set_platform_link(const std::string& failure_domain, const nlohmann::json& faults);
    /// Changes the proxy routes from one entry VM to another, in this direction of connecting only.
    void set_route(std::size_t from, std::size_t to, const nlohmann::json& faults);
    void set_platform_faults(const nlohmann::json& faults);
    /// Sets the VM list of the platform to all VMs.
    /// @param leaving addresses of the VMs that the list marks as leaving.
    void set_vm_list(const std::set<vm_address>& leaving = {});
    void set_backend(std::size_t index, const std::string& endpoint, const nlohmann::json& body);

    deployment_plan& plan() { return plan_; }
    std::vector<entry_vm>& entry_vms() { return entry_vms_; }
    [[nodiscard]] const std::vector<backend_vm>& backends() const { return backends_; }
    [[nodiscard]] std::vector<vm_address> entry_addresses() const;
    [[nodiscard]] std::vector<vm_address> backend_addresses() const;
    [[nodiscard]] std::vector<std::size_t> entry_vms_of(const std::string& failure_domain) const;
    [[nodiscard]] const vm_address& platform() const { return platform_; }
    child_process& backend_process(std::size_t index) { return *backend_processes_[index]; }
    /// The last lines of the log of each daemon, for messages of failed checks.
    [[nodiscard]] std::string log_tails() const;

private:
    [[nodiscard]] bool knows_all(const entry_vm& vm) const;
    struct route {
        std::size_t from = 0;
        vm_address to;
        vm_address listen;
    };

    void start_platform();
    void start_backends();
    void start_proxy();
    void set_routes(const std::vector<vm_address>& listen, const nlohmann::json& faults);
    [[nodiscard]] std::vector<std::size_t> all_or(const std::vector<std::size_t>& indices) const;

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
