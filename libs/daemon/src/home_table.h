#pragma once

#include "home.h"

#include "toucan/backend/backend_pool.h"
#include "toucan/base/name.h"
#include "toucan/base/vm_id.h"
#include "toucan/rpc/backend_load.h"
#include "toucan/rpc/service_load.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace toucan::daemon {

/// Homes on this daemon, by backend server. Thread-safe.
class home_table {
public:
    /// @param self this daemon; its incarnation makes credit ids distinct.
    /// @param pool connections to backend servers; outlives the table.
    /// @param env dependencies and switches of each home.
    home_table(vm_id self, const backend::backend_pool& pool, home::environment env);

    /// Makes this daemon the home of exactly these backend servers, by creating, configuring and
    /// closing homes.
    /// @param assignments backend servers with their settings. Those without a client in the pool
    /// are skipped.
    /// @param may_have_predecessors true if another daemon may have been the home of newly added
    /// backend servers.
    void reconcile(const std::vector<home_assignment>& assignments, bool may_have_predecessors);

    /// @return null if this daemon is not the home of the backend server.
    [[nodiscard]] std::shared_ptr<home> find(const backend_server_name& backend) const;
    [[nodiscard]] std::vector<std::shared_ptr<home>> all() const;
    /// Grants credit from the home with the most spare slots for the service.
    rpc::credit_reply grant(const rpc::credit_request& request);
    [[nodiscard]] std::vector<rpc::backend_load> loads() const;
    /// Capacity, spare slots and queue length by service, summed over the homes of this daemon.
    [[nodiscard]] std::vector<rpc::service_load> service_loads() const;
    /// Calls `home::tick` on each home.
    void tick();
    /// Describes the homes for `/state`.
    [[nodiscard]] nlohmann::json state() const;

private:
    vm_id self_;
    const backend::backend_pool& pool_;
    home::environment env_;
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<backend_server_name, std::shared_ptr<home>> homes_;
    std::uint64_t next_credit_range_ = 0;
};

} // namespace toucan::daemon
