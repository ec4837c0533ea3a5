#pragma once

#include "backend_poller.h"
#include "call_handler.h"
#include "config_updater.h"
#include "home_table.h"
#include "http_frontend.h"
#include "peer_sync.h"
#include "periodic_task.h"
#include "redirecting_client.h"
#include "request_router.h"

#include "toucan/base/metrics.h"
#include "toucan/base/worker_pool.h"
#include "toucan/daemon/daemon.h"
#include "toucan/membership/member_table.h"
#include "toucan/operations/operation_coordinator.h"
#include "toucan/platform/http_object_store.h"
#include "toucan/platform/http_table_service.h"
#include "toucan/platform/http_vm_list.h"
#include "toucan/publishing/configuration_store.h"
#include "toucan/rpc/rpc_client.h"
#include "toucan/rpc/rpc_server.h"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan::daemon {

/// Components of a daemon and the threads that run them.
class daemon::impl {
public:
    impl(settings options, const clock& time);
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl() { stop(); }

    bool start();
    bool drain();
    void stop();

private:
    /// Membership view that the other components use, and the time at which it was taken.
    struct cached_view {
        std::shared_ptr<const membership::member_view> members;
        steady_time taken_at;
    };

    [[nodiscard]] membership::self_description make_self_description();
    [[nodiscard]] home::environment home_environment();
    [[nodiscard]] request_router::environment router_environment() const;
    [[nodiscard]] rpc::daemon_handlers rpc_handlers();
    [[nodiscard]] http_handlers frontend_handlers();
    void start_tasks();

    /// @return null if the daemon has no platform.
    template <typename Client>
    std::unique_ptr<Client> make_platform_client();
    [[nodiscard]] rpc::rpc_client_options make_rpc_options();
    /// Logs and counts a response that arrived but is not used.
    void record_broken_response(const char* from, const vm_address& address, response_fault fault,
                                const std::string& reason);
    /// Takes a new membership view and updates homes, routing, witness and readiness from it.
    void refresh();
    void choose_witness(const membership::member_view& members);
    void update_readiness(const membership::member_view& members);
    /// @return empty if the daemon can become ready, else the reason why not.
    [[nodiscard]] std::string not_ready_reason(const membership::member_view& members) const;
    void pull_configuration(vm_address peer);
    /// Whether this daemon reads from the platform: always until it is ready, then only if it is
    /// one of the head readers of its failure domain.
    [[nodiscard]] bool is_platform_reader() const;
    void poll_head();
    void read_vm_list();
    [[nodiscard]] bool is_home_valid() const;
    [[nodiscard]] bool is_reachable(vm_address peer) const;
    [[nodiscard]] cached_view read_cached_view() const;
    [[nodiscard]] std::vector<rpc::service_load>
    summarize_loads(const std::vector<rpc::backend_load>& loads) const;
    [[nodiscard]] bool is_idle() const;
    [[nodiscard]] std::string dump_state() const;

    settings options_;
    const clock& clock_;
    vm_id self_;
    std::chrono::nanoseconds epoch_offset_;
    metrics metrics_;

    std::unique_ptr<platform::http_table_service> table_service_;
    std::unique_ptr<platform::http_object_store> object_store_;
    std::unique_ptr<platform::http_vm_list> vm_list_;
    rpc::rpc_client direct_peers_;
    redirecting_client peers_;

    publishing::configuration_store config_store_;
    config_updater config_updater_;
    membership::member_table members_;
    membership::sync_scheduler scheduler_;
    backend::backend_pool backend_pool_;
    home_table homes_;
    request_router router_;

    operations::key_issuer key_issuer_;
    operations::operation_table operation_table_;
    operations::witness_table witness_table_;
    operations::operation_coordinator operation_coordinator_;
    call_handler call_handler_;

    mutable absl::Mutex view_mutex_;
    cached_view view_;
    std::atomic<bool> ready_ = false;
    std::atomic<bool> draining_ = false;
    steady_time start_time_;
    std::shared_ptr<const steering::configuration> applied_config_;

    peer_sync peer_sync_;
    backend_poller backend_poller_;
    /// Declared after the components whose tasks it runs, so that it is destroyed before them.
    worker_pool workers_;
    std::unique_ptr<rpc::rpc_server> rpc_server_;
    std::unique_ptr<http_frontend> frontend_;
    /// Declared last, so that the tasks stop before the components that they use are destroyed.
    std::vector<std::unique_ptr<periodic_task>> tasks_;
};

} // namespace toucan::daemon
