#pragma once

#include "backend_watcher.h"
#include "call_handler.h"
#include "config_updater.h"
#include "home_table.h"
#include "http_front.h"
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

/// The parts of one daemon and the threads that drive them.
class daemon::state {
public:
    state(settings options, const clock& time);
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() { stop(); }

    bool start();
    bool drain();
    void stop();

private:
    /// The view of the member table that the other parts work with, and when it was taken.
    struct cached_view {
        std::shared_ptr<const membership::member_view> members;
        steady_time taken;
    };

    [[nodiscard]] membership::self_description describe();
    [[nodiscard]] home::environment home_environment();
    [[nodiscard]] request_router::environment router_environment() const;
    [[nodiscard]] rpc::daemon_handlers rpc_handlers();
    [[nodiscard]] http_handlers web_handlers();
    void start_tasks();

    /// Takes a new view, and brings homes, routing and witness up to date.
    void refresh();
    void choose_witness(const membership::member_view& members);
    void update_readiness(const membership::member_view& members);
    [[nodiscard]] std::string not_ready_reason(const membership::member_view& members) const;
    void pull_configuration(vm_address peer);
    /// Whether this daemon is one of the readers of its failure domain.
    [[nodiscard]] bool reads_platform() const;
    void poll_head();
    void read_vm_list();
    [[nodiscard]] bool is_home_valid() const;
    [[nodiscard]] bool is_reachable(vm_address peer) const;
    [[nodiscard]] cached_view cached() const;
    [[nodiscard]] std::vector<rpc::service_load>
    summarise(const std::vector<rpc::backend_load>& loads) const;
    [[nodiscard]] bool is_idle() const;
    [[nodiscard]] std::string dump() const;

    settings options_;
    const clock& clock_;
    vm_id self_;
    std::chrono::nanoseconds epoch_offset_;
    metrics metrics_;

    std::unique_ptr<platform::http_table_service> table_;
    std::unique_ptr<platform::http_object_store> objects_;
    std::unique_ptr<platform::http_vm_list> vms_;
    rpc::rpc_client direct_peers_;
    redirecting_client peers_;

    publishing::configuration_store store_;
    config_updater updater_;
    membership::member_table members_;
    membership::sync_scheduler scheduler_;
    backend::backend_pool pool_;
    home_table homes_;
    request_router router_;

    operations::key_issuer issuer_;
    operations::operation_table operations_;
    operations::witness_table witnessed_;
    operations::operation_coordinator coordinator_;
    call_handler calls_;

    mutable absl::Mutex view_mutex_;
    cached_view view_;
    std::atomic<bool> ready_ = false;
    std::atomic<bool> draining_ = false;
    steady_time started_;
    std::shared_ptr<const steering::configuration> applied_;

    peer_sync sync_;
    backend_watcher watcher_;
    /// After the parts whose tasks it runs, so that it ends before them.
    worker_pool workers_;
    std::unique_ptr<rpc::rpc_server> rpc_server_;
    std::unique_ptr<http_front> front_;
    /// Last, so that the tasks end before what they use.
    std::vector<std::unique_ptr<periodic_task>> tasks_;
};

} // namespace toucan::daemon
