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

/// The backend servers that this daemon is the home of. Thread-safe.
class home_table {
public:
    /// @param self own incarnation, which makes credit ids distinct.
    /// @param pool connections to backend servers; outlives the table.
    /// @param env clock and switches for each home.
    home_table(vm_id self, const backend::backend_pool& pool, home::environment env);

    /// Makes this daemon the home of exactly these backend servers.
    /// @param plans what to serve.
    /// @param successors true if another daemon may have been the home of new ones before.
    void reconcile(const std::vector<home_plan>& plans, bool successors);

    /// @param backend name of a backend server.
    /// @return null if this daemon is not its home.
    [[nodiscard]] std::shared_ptr<home> find(const backend_server_name& backend) const;
    [[nodiscard]] std::vector<std::shared_ptr<home>> all() const;
    /// Credit for a service from the home with most spare slots.
    rpc::credit_reply grant(const rpc::credit_request& request);
    [[nodiscard]] std::vector<rpc::backend_load> loads() const;
    /// Capacity and spare slots by service, over the homes of this daemon.
    [[nodiscard]] std::vector<rpc::service_load> service_loads() const;
    void tick();
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
